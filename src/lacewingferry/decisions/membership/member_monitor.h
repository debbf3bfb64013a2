#ifndef LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_
#define LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_

// Defines MemberMonitor, which notices that nobody hears a member any more.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/membership/zone_topology.h"

namespace lacewingferry {

/** What a MemberMonitor asks for. */
struct MemberMonitorHooks {
  std::function<void(const NodeId& to, const PeerBody& body)> send;
  /** Nobody heard the member for three intervals; gives the last announcement
   * that was heard. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const MemberHeard& last)>
      lost;
};

/**
 * Passes each announcement that this process heard on to the one process that
 * monitors the member, and monitors members itself. Before a member counts as
 * lost, its monitor asks all proxies of the zone whether they heard it.
 */
class MemberMonitor {
 public:
  MemberMonitor(NodeId self, MemberMonitorHooks hooks);

  /** Takes changed duties; a member that is new to them starts as just
   * heard. */
  void Rebuild(std::chrono::steady_clock::time_point now,
               const ZoneTopology& topology,
               const std::vector<MemberAnnouncement>& members);

  /** Takes over a member that is new, if it is this process's to monitor. */
  void Watch(std::chrono::steady_clock::time_point now,
             const ZoneTopology& topology, const MemberAnnouncement& member);

  /** A member is gone. */
  void Forget(const MemberId& member);

  /** This process heard an announcement. */
  void OnAnnounced(std::chrono::steady_clock::time_point now,
                   const ZoneTopology& topology,
                   const MemberAnnouncement& announcement);

  /** A peer heard an announcement. */
  void OnHeard(std::chrono::steady_clock::time_point now, const NodeId& from,
               const MemberHeard& heard);

  /** A peer asks what this process heard. */
  void OnInquiry(std::chrono::steady_clock::time_point now, const NodeId& from,
                 const MemberInquiry& inquiry);

  /** Looks for silence, and asks the zone where there is some. */
  void OnTick(std::chrono::steady_clock::time_point now,
              const ZoneTopology& topology);

  /** Whether this process heard the member lately, and at which announcement;
   * null if not. */
  const MemberHeard* HeardLately(std::chrono::steady_clock::time_point now,
                                 const MemberId& member) const;

  /** Forgives all members a silence in which this process stood still. */
  void Forgive(std::chrono::steady_clock::duration pause);

 private:
  struct Hearing {
    MemberHeard heard;
    std::chrono::steady_clock::time_point at;
    std::chrono::steady_clock::time_point asked;
    /** The peer that heard it; empty for this process. */
    NodeId by;
  };

  void Refresh(std::chrono::steady_clock::time_point heard_at, const NodeId& by,
               const MemberHeard& heard);
  void Ask(const ZoneTopology& topology, const Hearing& hearing);

  NodeId self;
  MemberMonitorHooks hooks;
  /** What this process heard itself. */
  std::map<MemberId, Hearing> own;
  /** The members that this process monitors. */
  std::map<MemberId, Hearing> monitored;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_MEMBERSHIP_MEMBER_MONITOR_H_
