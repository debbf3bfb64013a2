#ifndef LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_

// Defines the messages that spread what is known of backend servers and
// proxies.

#include <chrono>
#include <cstdint>
#include <vector>

#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** A backend server's own report, as it announced it to some proxy. */
struct MemberAnnouncement {
  MemberInfo info;
  /** Whether the member believes that it is its database's primary. */
  bool primary = false;
  /** The highest term that the member was told. */
  std::uint64_t term = 0;
  /** Where the member streams its log to replicas. */
  Endpoint replication_endpoint;
  /** The newest position that the member's log holds. */
  LogPosition position;
  /** Rises with each announcement of one run of the member. */
  std::uint64_t sequence = 0;
  /** Tells the runs of a member apart; a later run has a larger one. */
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("info", self.info);
    visit("primary", self.primary);
    visit("term", self.term);
    visit("replication_endpoint", self.replication_endpoint);
    visit("position", self.position);
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
  }
};

/** A proxy's heartbeat to its peers, with what it learned since the last. */
struct MembershipUpdate {
  ProxyInfo sender;
  std::uint64_t incarnation = 0;
  std::vector<MemberAnnouncement> announcements;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("incarnation", self.incarnation);
    visit("announcements", self.announcements);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_MEMBERSHIP_MESSAGES_H_
