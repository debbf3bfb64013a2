#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_DIRECTORY_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_DIRECTORY_H_

// Defines MemberDirectory, what a proxy knows of backend servers and proxies.

#include <chrono>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Collects announcements and heartbeats, forgets what fell silent, and
 * builds the routing view. */
class MemberDirectory {
 public:
  /** Starts with this proxy alone. */
  explicit MemberDirectory(ProxyInfo self);

  /** Takes a member's announcement. Returns whether it was newer than what
   * was known. Throws UserError for one that makes no sense. */
  bool OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const MemberAnnouncement& announcement);

  /** Takes a peer's heartbeat with the announcements that it passes on. */
  void OnUpdate(std::chrono::steady_clock::time_point now,
                const MembershipUpdate& update);

  /** Says that this proxy takes no new work. */
  void StartDraining() { this->self.draining = true; }

  /** This proxy's next heartbeat: all announcements that it took itself since
   * the last one. */
  MembershipUpdate TakeUpdate();

  /** The live proxies but this one. */
  std::vector<ProxyInfo> Peers() const;

  /** Forgets members and proxies that fell silent; returns the members. */
  std::vector<MemberId> Expire(std::chrono::steady_clock::time_point now);

  /** The picture for the traffic threads. */
  RoutingView BuildView() const;

 private:
  struct KnownMember {
    MemberAnnouncement announcement;
    std::chrono::steady_clock::time_point heard;
  };
  struct KnownProxy {
    ProxyInfo info;
    std::chrono::steady_clock::time_point heard;
  };

  bool Learn(std::chrono::steady_clock::time_point now,
             const MemberAnnouncement& announcement);

  ProxyInfo self;
  std::map<MemberId, KnownMember> members;
  std::map<NodeId, KnownProxy> proxies;
  std::vector<MemberAnnouncement> outgoing;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_DIRECTORY_H_
