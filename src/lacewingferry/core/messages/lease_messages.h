#ifndef LACEWINGFERRY_CORE_MESSAGES_LEASE_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_LEASE_MESSAGES_H_

// Defines the messages by which proxies hold leases on the terms of the
// databases whose writes they acknowledge.

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** A database in one term with one set of members. */
struct DatabaseStamp {
  DatabaseId database;
  std::uint64_t term = 0;
  /** Rises with each change of the members that count for a majority. */
  std::uint64_t members_revision = 0;

  friend bool operator==(const DatabaseStamp& a, const DatabaseStamp& b) {
    return a.database == b.database && a.term == b.term &&
           a.members_revision == b.members_revision;
  }
  friend bool operator!=(const DatabaseStamp& a, const DatabaseStamp& b) {
    return !(a == b);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("term", self.term);
    visit("members_revision", self.members_revision);
  }
};

/** A proxy's request to renew its one lease, for all databases for which it
 * may acknowledge writes. */
struct LeaseRenewal {
  /** Rises with each request of one run of the proxy. */
  std::uint64_t sequence = 0;
  /** Tells the runs of the proxy apart; a later run has a larger one. */
  std::uint64_t incarnation = 0;
  /** Rises with each change of the databases. */
  std::uint64_t databases_revision = 0;
  /** Whether the databases are listed; left out while the grantor knows this
   * revision of them. */
  bool lists_databases = false;
  std::vector<DatabaseStamp> databases;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("databases_revision", self.databases_revision);
    visit("lists_databases", self.lists_databases);
    visit("databases", self.databases);
  }
};

/** Answers a LeaseRenewal. */
struct LeaseGrant {
  /** The sequence of the request, from whose sending the holder counts. */
  std::uint64_t sequence = 0;
  std::uint64_t incarnation = 0;
  /** How long the lease lasts; zero when nothing is granted. */
  std::chrono::milliseconds duration{0};
  /** Whether the next renewal has to list the databases. */
  bool wants_databases = false;
  /** The databases of the request that the lease doesn't cover, with the
   * current term and members. */
  std::vector<DatabaseStamp> refused;
  /** The revision of control's state of the databases; a proxy that knows a
   * lower one asks for what changed. */
  std::uint64_t cluster_revision = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sequence", self.sequence);
    visit("incarnation", self.incarnation);
    visit("duration", self.duration);
    visit("wants_databases", self.wants_databases);
    visit("refused", self.refused);
    visit("cluster_revision", self.cluster_revision);
  }
};

/** Asks a holder to acknowledge nothing more in terms before the given one. */
struct LeaseRelease {
  DatabaseId database;
  std::uint64_t before_term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("before_term", self.before_term);
  }
};

/** A holder's promise, in answer to a LeaseRelease. */
struct LeaseReleased {
  DatabaseId database;
  std::uint64_t before_term = 0;
  std::uint64_t incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("before_term", self.before_term);
    visit("incarnation", self.incarnation);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_LEASE_MESSAGES_H_
