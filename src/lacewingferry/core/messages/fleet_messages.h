#ifndef LACEWINGFERRY_CORE_MESSAGES_FLEET_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_FLEET_MESSAGES_H_

// Defines the messages between the leader of control and the proxies of
// sessions: reports, the fleet as control knows it, and leases.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** A proxy's regular report to control. */
struct ProxyReport {
  /** Rises with each report of one run of the proxy. */
  std::uint64_t sequence = 0;
  std::uint64_t incarnation = 0;
  AvailabilityZone zone;
  /** The state of control that the proxy knows. */
  std::uint64_t fleet_revision = 0;
  std::uint64_t configuration_version = 0;
  bool draining = false;
  /** The ZoneProxies that the proxy knows; 0 for none. */
  std::uint64_t zone_digest = 0;
  /** Reports before this one that got no answer; control then opens its
   * connection to the proxy anew. */
  std::uint32_t unanswered = 0;
  std::optional<LeaseRenewal> renewal;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("zone", self.zone);
    visit("fleet_revision", self.fleet_revision);
    visit("configuration_version", self.configuration_version);
    visit("draining", self.draining);
    visit("zone_digest", self.zone_digest);
    visit("unanswered", self.unanswered);
    visit("renewal", self.renewal);
  }
};

/** A position that the primary's log had when control last asked. */
struct PrimaryPosition {
  DatabaseId database;
  LogPosition position;
  /** How long before this message the question was sent. */
  std::chrono::milliseconds age{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("position", self.position);
    visit("age", self.age);
  }
};

/** The members and terms that control knows at one point of its log, or those
 * that changed since an earlier one. */
struct FleetState {
  /** The index in the control log; a higher one is newer. */
  std::uint64_t revision = 0;
  /** What isn't named is as it was at this index; 0 where all is named. */
  std::uint64_t base = 0;
  std::vector<MemberAnnouncement> members;
  std::vector<DatabaseTerm> databases;
  /** Members that left since the base. */
  std::vector<MemberId> gone;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
    visit("base", self.base);
    visit("members", self.members);
    visit("databases", self.databases);
    visit("gone", self.gone);
  }
};

/** The proxies of one availability zone that take sessions. */
struct ZoneProxies {
  /** Names this content, the same at each leader of control; 0 for none. */
  std::uint64_t digest = 0;
  /** The availability zones that have such proxies. */
  std::uint32_t zones = 0;
  std::vector<NodeId> proxies;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("digest", self.digest);
    visit("zones", self.zones);
    visit("proxies", self.proxies);
  }
};

/** Control's answer to a report, or news without one. */
struct ProxyUpdate {
  /** The report that this answers; 0 for news. */
  std::uint64_t sequence = 0;
  std::uint64_t incarnation = 0;
  /** How many proxies share the members' connections. */
  std::uint32_t proxies = 0;
  /** The processes of control, to reach another when the leader is gone. */
  std::vector<NodeId> control;
  std::optional<LeaseGrant> grant;
  std::vector<PrimaryPosition> positions;
  /** Left out where the proxy knows it. */
  std::optional<FleetState> fleet;
  std::optional<ServiceConfiguration> configuration;
  /** Of the proxy's own zone; left out where the proxy knows it. */
  std::optional<ZoneProxies> zone;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("proxies", self.proxies);
    visit("control", self.control);
    visit("grant", self.grant);
    visit("positions", self.positions);
    visit("fleet", self.fleet);
    visit("configuration", self.configuration);
    visit("zone", self.zone);
  }
};

/** Asks a proxy to acknowledge nothing more in terms before the given one. */
struct LeaseRecall {
  DatabaseId database;
  std::uint64_t before_term = 0;
  /** How long writes under way may take to end. */
  std::chrono::milliseconds patience{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("before_term", self.before_term);
    visit("patience", self.patience);
  }
};

/** A proxy's promise in answer to a LeaseRecall. */
struct LeaseRecalled {
  LeaseReleased released;
  /** The newest position of the database that this run of the proxy has
   * acknowledged to a client; zero if none. */
  LogPosition acknowledged;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("released", self.released);
    visit("acknowledged", self.acknowledged);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_FLEET_MESSAGES_H_
