#ifndef LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_

// Defines the messages between the voters of the replicated control log.

#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** One entry of the control log. */
struct ControlEntry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  /** What the entry holds; see ControlLog. */
  std::uint8_t kind = 0;
  std::string payload;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("index", self.index);
    visit("kind", self.kind);
    visit("payload", self.payload);
  }
};

/** Asks for a vote, or with pre_vote set whether a vote would be given. */
struct VoteRequest {
  std::uint64_t term = 0;
  bool pre_vote = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("pre_vote", self.pre_vote);
    visit("last_index", self.last_index);
    visit("last_term", self.last_term);
  }
};

/** Answers a VoteRequest. */
struct VoteReply {
  std::uint64_t term = 0;
  bool pre_vote = false;
  bool granted = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("pre_vote", self.pre_vote);
    visit("granted", self.granted);
  }
};

/** Replicates entries; without entries it is the leader's heartbeat. */
struct AppendRequest {
  std::uint64_t term = 0;
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;
  /** Counts the leader's rounds, so that a reply confirms its leadership. */
  std::uint64_t round = 0;
  std::vector<ControlEntry> entries;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("previous_index", self.previous_index);
    visit("previous_term", self.previous_term);
    visit("commit_index", self.commit_index);
    visit("round", self.round);
    visit("entries", self.entries);
  }
};

/** Answers an AppendRequest. */
struct AppendReply {
  std::uint64_t term = 0;
  bool success = false;
  /** On success the last index stored; else where the leader should retry. */
  std::uint64_t index = 0;
  std::uint64_t round = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("success", self.success);
    visit("index", self.index);
    visit("round", self.round);
  }
};

/** Sends a snapshot to a follower whose next entry is no longer kept. */
struct SnapshotRequest {
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::string voters;
  std::string state;
  std::uint64_t round = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("last_index", self.last_index);
    visit("last_term", self.last_term);
    visit("voters", self.voters);
    visit("state", self.state);
    visit("round", self.round);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_
