#ifndef LACEWINGFERRY_CORE_RELEASE_NOTE_H_
#define LACEWINGFERRY_CORE_RELEASE_NOTE_H_

// Defines ReleaseNote, an operator's change of the configuration: what is
// added, changed and withdrawn.

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** The most members of a database. */
constexpr std::uint32_t kMostMembers = 9;

/** The most connections that a group may state for a member. */
constexpr std::uint32_t kMostSlots = 10000;

/** The highest generation that an empty system takes. */
constexpr std::uint32_t kMostGenerations = 1000000000;

/** A group of replicated databases of the same kind. */
struct DatabaseGroup {
  GroupId id;
  /** Counts the times that the name was added; 1 for the first. */
  std::uint32_t generation = 1;
  std::vector<DatabaseId> databases;
  /** The members that each database has; a majority of them confirms. */
  std::uint32_t members = 0;
  /** The most connections that each member accepts. */
  std::uint32_t slots = 0;

  friend bool operator==(const DatabaseGroup& a, const DatabaseGroup& b) {
    return std::tie(a.id, a.generation, a.databases, a.members, a.slots) ==
           std::tie(b.id, b.generation, b.databases, b.members, b.slots);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("generation", self.generation);
    visit("databases", self.databases);
    visit("members", self.members);
    visit("slots", self.slots);
  }
};

/** How old the data of a read may be when its caller states nothing. */
struct StalenessRule {
  GroupId group;
  std::uint32_t generation = 1;
  std::chrono::milliseconds max_age{0};

  friend bool operator==(const StalenessRule& a, const StalenessRule& b) {
    return std::tie(a.group, a.generation, a.max_age) ==
           std::tie(b.group, b.generation, b.max_age);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("group", self.group);
    visit("generation", self.generation);
    visit("max_age", self.max_age);
  }
};

/** A proxy that fronts the databases. */
struct FrontProxy {
  NodeId id;
  std::uint32_t generation = 1;
  AvailabilityZone zone;
  std::string region;
  /** Where the proxy takes messages, for example tcp://127.0.0.1:7001. */
  std::string peer_url;

  friend bool operator==(const FrontProxy& a, const FrontProxy& b) {
    return std::tie(a.id, a.generation, a.zone, a.region, a.peer_url) ==
           std::tie(b.id, b.generation, b.zone, b.region, b.peer_url);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("generation", self.generation);
    visit("zone", self.zone);
    visit("region", self.region);
    visit("peer_url", self.peer_url);
  }
};

/** Things that a note adds or changes; each stands whole. */
struct NoteItems {
  std::vector<DatabaseGroup> groups;
  std::vector<StalenessRule> staleness_rules;
  std::vector<FrontProxy> proxies;

  friend bool operator==(const NoteItems& a, const NoteItems& b) {
    return std::tie(a.groups, a.staleness_rules, a.proxies) ==
           std::tie(b.groups, b.staleness_rules, b.proxies);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("groups", self.groups);
    visit("staleness_rules", self.staleness_rules);
    visit("proxies", self.proxies);
  }
};

/** The names of things that a note withdraws. */
struct WithdrawnItems {
  std::vector<GroupId> groups;
  /** The groups whose rules are withdrawn. */
  std::vector<GroupId> staleness_rules;
  std::vector<NodeId> proxies;

  friend bool operator==(const WithdrawnItems& a, const WithdrawnItems& b) {
    return std::tie(a.groups, a.staleness_rules, a.proxies) ==
           std::tie(b.groups, b.staleness_rules, b.proxies);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("groups", self.groups);
    visit("staleness_rules", self.staleness_rules);
    visit("proxies", self.proxies);
  }
};

/** One change of the configuration, as an operator wrote it. */
struct ReleaseNote {
  /** Kept over resends; a note of another content has another one. */
  NoteId id;
  /** The revision that the author saw in force; 0 for an empty system. */
  std::uint64_t base_revision = 0;
  std::string author;
  NoteItems added;
  NoteItems changed;
  WithdrawnItems withdrawn;

  friend bool operator==(const ReleaseNote& a, const ReleaseNote& b) {
    return std::tie(a.id, a.base_revision, a.author, a.added, a.changed,
                    a.withdrawn) == std::tie(b.id, b.base_revision, b.author,
                                             b.added, b.changed, b.withdrawn);
  }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("id", self.id);
    visit("base_revision", self.base_revision);
    visit("author", self.author);
    visit("added", self.added);
    visit("changed", self.changed);
    visit("withdrawn", self.withdrawn);
  }
};

/** A note as the control log holds it. */
struct NoteSubmission {
  ReleaseNote note;
  /** When control received the note: UTC, since 1970-01-01. For the history
   * only; no decision depends on it. */
  std::chrono::microseconds received_at{0};
  /** The operator who sent the note; need not be its author. */
  std::string sender;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("note", self.note);
    visit("received_at", self.received_at);
    visit("sender", self.sender);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_RELEASE_NOTE_H_
