#ifndef LACEWINGFERRY_CORE_ROUTING_VIEW_H_
#define LACEWINGFERRY_CORE_ROUTING_VIEW_H_

// Defines RoutingView, the immutable picture of the cluster that the control
// thread publishes to the traffic threads.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** An IP address and a port. */
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.port == b.port && a.host == b.host;
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("host", self.host);
    visit("port", self.port);
  }
};

/** A backend server as it announced itself. */
struct MemberInfo {
  MemberId id;
  DatabaseId database;
  GroupId group;
  AvailabilityZone zone;
  Endpoint endpoint;
  /** The most connections that the member accepts. */
  std::uint32_t slots = 0;
  /** Whether the member asked for no new work. */
  bool leaving = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("database", self.database);
    visit("group", self.group);
    visit("zone", self.zone);
    visit("endpoint", self.endpoint);
    visit("slots", self.slots);
    visit("leaving", self.leaving);
  }
};

/** A proxy's share of a member's slots. */
struct SlotShare {
  NodeId owner;
  std::uint32_t slots = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("owner", self.owner);
    visit("slots", self.slots);
  }
};

/** A member together with the proxies that hold its connections. */
struct RoutedMember {
  MemberInfo info;
  std::vector<SlotShare> owners;
};

/** A live proxy. */
struct ProxyInfo {
  NodeId id;
  AvailabilityZone zone;
  /** The address at which the proxy takes messages of other processes. */
  std::string peer_url;
  bool draining = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("zone", self.zone);
    visit("peer_url", self.peer_url);
    visit("draining", self.draining);
  }
};

/** One database as the traffic threads see it. */
struct DatabaseView {
  DatabaseId id;
  GroupId group;
  /** The term that control decided; 0 while there has been no primary. */
  std::uint64_t term = 0;
  /** The primary of the term; empty while there is none. */
  MemberId primary;
  std::vector<RoutedMember> members;
  /** How many members the database has when whole; a majority is counted of
   * these, whether or not they are up. */
  std::uint32_t group_size = 3;
  /** The members of which a majority is counted, by identity. Empty while
   * control has not spoken of the database. */
  std::vector<MemberId> counted_members;
  /** The staleness that a read takes when its caller states none; no value
   * asks for the session's view. */
  std::optional<std::chrono::milliseconds> default_max_age;
};

/** The cluster as one proxy knows it at one moment. */
struct RoutingView {
  std::uint64_t configuration_revision = 0;
  std::unordered_map<DatabaseId, DatabaseView> databases;
  std::vector<ProxyInfo> proxies;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_ROUTING_VIEW_H_
