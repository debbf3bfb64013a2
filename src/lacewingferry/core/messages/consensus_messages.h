#ifndef LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_

// Defines the messages between the voters of the replicated control log.
//
// Each message names the identities of its sender and, but for a join, of its
// receiver. A VM that lost its disk has a new identity, so that it neither
// answers for the old one nor is counted as it.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lacewingferry/core/control_configuration.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** What an entry of the control log holds. */
enum class EntryKind : std::uint8_t {
  /** Nothing; a new leader commits it before it serves. */
  kNoOp = 0,
  /** A command for the state machine, in payload. */
  kCommand = 1,
  /** The voters and learners from this entry on, in configuration. */
  kConfiguration = 2,
};

/** One entry of the control log. */
struct ControlEntry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;
  ControlConfiguration configuration;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("index", self.index);
    visit("kind", self.kind);
    visit("payload", self.payload);
    visit("configuration", self.configuration);
  }
};

/** Asks for a vote, or with pre_vote set whether a vote would be given. */
struct VoteRequest {
  VoterId from;
  VoterId to;
  std::uint64_t term = 0;
  bool pre_vote = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("term", self.term);
    visit("pre_vote", self.pre_vote);
    visit("last_index", self.last_index);
    visit("last_term", self.last_term);
  }
};

/** Answers a VoteRequest. */
struct VoteReply {
  VoterId from;
  VoterId to;
  /** The term voted in; for a refusal the voter's own term. */
  std::uint64_t term = 0;
  bool pre_vote = false;
  bool granted = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("term", self.term);
    visit("pre_vote", self.pre_vote);
    visit("granted", self.granted);
  }
};

/** Replicates entries; without entries it is the leader's heartbeat. */
struct AppendRequest {
  VoterId from;
  VoterId to;
  std::uint64_t term = 0;
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;
  /** Counts the leader's rounds, so that a reply confirms its leadership. */
  std::uint64_t round = 0;
  std::vector<ControlEntry> entries;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("term", self.term);
    visit("previous_index", self.previous_index);
    visit("previous_term", self.previous_term);
    visit("commit_index", self.commit_index);
    visit("round", self.round);
    visit("entries", self.entries);
  }
};

/** Answers an AppendRequest or a SnapshotRequest. */
struct AppendReply {
  VoterId from;
  VoterId to;
  std::uint64_t term = 0;
  bool success = false;
  /** On success the last index that equals the leader's; else the last one
   * that may do so. */
  std::uint64_t index = 0;
  std::uint64_t round = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("term", self.term);
    visit("success", self.success);
    visit("index", self.index);
    visit("round", self.round);
  }
};

/** Sends a snapshot to a follower whose next entry is no longer kept. */
struct SnapshotRequest {
  VoterId from;
  VoterId to;
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  ControlConfiguration configuration;
  std::string state;
  std::uint64_t round = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("term", self.term);
    visit("last_index", self.last_index);
    visit("last_term", self.last_term);
    visit("configuration", self.configuration);
    visit("state", self.state);
    visit("round", self.round);
  }
};

/** Asks the leader to take in the sender as a learner. Other replicas answer
 * with a JoinRedirect. */
struct JoinRequest {
  VoterId from;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
  }
};

/** Answers a replica that asks to join, or for a vote without being known,
 * where the one that it asked doesn't lead. */
struct JoinRedirect {
  VoterId from;
  VoterId to;
  /** The leader's node if it is known; else those of the log's replicas. */
  std::vector<NodeId> nodes;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from", self.from);
    visit("to", self.to);
    visit("nodes", self.nodes);
  }
};

/** Any message between voters. */
using ConsensusMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotRequest, JoinRequest, JoinRedirect>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_CONSENSUS_MESSAGES_H_
