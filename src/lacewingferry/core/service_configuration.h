#ifndef LACEWINGFERRY_CORE_SERVICE_CONFIGURATION_H_
#define LACEWINGFERRY_CORE_SERVICE_CONFIGURATION_H_

// Defines ServiceConfiguration, which database names callers may use, what
// their reads are promised, which group of members serves them, and which
// customers may call.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** What a read has to include. */
enum class ReadConsistency : std::uint8_t {
  /** Every commit that was acknowledged before the read began. */
  kPrimary = 0,
  /** Every commit acknowledged earlier than the stated age before it. */
  kBounded = 1,
  /** As kBounded, and every commit of the same session. */
  kSession = 2,
};

/** How statements for one database name are served. */
struct Route {
  std::string name;
  /** The database name that callers state. */
  std::string host;
  std::string prefix;
  ReadConsistency consistency = ReadConsistency::kPrimary;
  /** The time for one statement. */
  std::chrono::milliseconds statement_timeout{0};
  /** The time within which callers want a whole operation answered. */
  std::chrono::milliseconds latency_objective{0};
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** The group of members that serves the route. */
  DatabaseId database;
  /** For kBounded and kSession. */
  std::chrono::milliseconds max_staleness{0};
  /** Whether callers need no customer's key. */
  bool open_to_all = false;

  static constexpr std::uint32_t kFirstFields = 9;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("host", self.host);
    visit("prefix", self.prefix);
    visit("consistency", self.consistency);
    visit("statement_timeout", self.statement_timeout);
    visit("latency_objective", self.latency_objective);
    visit("priority", self.priority);
    visit("database", self.database);
    visit("max_staleness", self.max_staleness);
    visit("open_to_all", self.open_to_all);
  }
};

/** How many operations a customer may start, over the whole fleet: a token
 * bucket. */
struct RateLimit {
  /** Operations per second. */
  double rate = 0;
  /** Operations that may be started at once after a pause. */
  double burst = 0;

  friend bool operator==(const RateLimit& a, const RateLimit& b) {
    return a.rate == b.rate && a.burst == b.burst;
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("rate", self.rate);
    visit("burst", self.burst);
  }
};

/** On whose behalf sessions act. */
struct Customer {
  CustomerId id;
  /** Each identifies the customer; secret, so never logged or passed on to
   * members. */
  std::vector<std::string> keys;
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  /** None: the customer isn't limited. */
  std::optional<RateLimit> limit;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("keys", self.keys);
    visit("priority", self.priority);
    visit("limit", self.limit);
  }
};

/** What is configured for one group of members. */
struct ServiceRule {
  DatabaseId database;
  /** The most connections that a member accepts from all callers together. */
  std::uint32_t max_connections = 0;
  /** How many replicas receive a commit before the primary confirms it. */
  std::uint32_t synchronous_replicas = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("max_connections", self.max_connections);
    visit("synchronous_replicas", self.synchronous_replicas);
  }
};

/** A whole configuration; the one with the highest version is in force. */
struct ServiceConfiguration {
  /** 0 means that there is none yet. */
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceRule> services;
  /** A transaction idle for longer may be ended. */
  std::chrono::milliseconds transaction_idle{0};
  /** If there are none, callers need no key. */
  std::vector<Customer> customers{};

  /** The route of a database name; nullptr if there is none. */
  const Route* FindRoute(const std::string& host) const {
    const auto found =
        std::find_if(this->routes.begin(), this->routes.end(),
                     [&](const Route& route) { return route.host == host; });
    return found == this->routes.end() ? nullptr : &*found;
  }

  /** The rule of a group; nullptr if there is none. */
  const ServiceRule* FindService(const DatabaseId& database) const {
    const auto found = std::find_if(
        this->services.begin(), this->services.end(),
        [&](const ServiceRule& rule) { return rule.database == database; });
    return found == this->services.end() ? nullptr : &*found;
  }

  /** Whether callers of the route need a customer's key. */
  bool NeedsKey(const Route& route) const {
    return !this->customers.empty() && !route.open_to_all;
  }

  static constexpr std::uint32_t kFirstFields = 4;
  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("version", self.version);
    visit("routes", self.routes);
    visit("services", self.services);
    visit("transaction_idle", self.transaction_idle);
    visit("customers", self.customers);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SERVICE_CONFIGURATION_H_
