#ifndef LACEWINGFERRY_CORE_MESSAGES_FAILOVER_MESSAGES_H_
#define LACEWINGFERRY_CORE_MESSAGES_FAILOVER_MESSAGES_H_

// Defines the messages between control and the proxies by which a primary is
// watched and replaced.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/database_term.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** What a member is told to do. */
enum class MemberCommandKind : std::uint8_t {
  /** Refuse all lower terms and report the end of the log. */
  kFence = 0,
  kPromote = 1,
  kFollow = 2,
  /** Change nothing, and report the term and the end of the log. */
  kReport = 3,
};

/** Asks an owner of a member's connections to run a command on it. */
struct MemberCommand {
  /** Unique among the commands of one control process. */
  std::uint64_t command_id = 0;
  DatabaseId database;
  MemberInfo member;
  MemberCommandKind kind = MemberCommandKind::kFence;
  std::uint64_t term = 0;
  /** For kFollow: where the primary streams its log. */
  Endpoint primary_log;
  /** How long the answer is of use, counted from receipt. */
  std::chrono::milliseconds timeout{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("command_id", self.command_id);
    visit("database", self.database);
    visit("member", self.member);
    visit("kind", self.kind);
    visit("term", self.term);
    visit("primary_log", self.primary_log);
    visit("timeout", self.timeout);
  }
};

/** Answers a MemberCommand. */
struct MemberCommandResult {
  std::uint64_t command_id = 0;
  DatabaseId database;
  MemberId member;
  MemberCommandKind kind = MemberCommandKind::kFence;
  /** The term of the command. */
  std::uint64_t term = 0;
  /** Whether the member answered at all; the rest counts only then. */
  bool answered = false;
  bool accepted = false;
  /** The highest term that the member was told. */
  std::uint64_t member_term = 0;
  /** For kFence and kReport: the end of the member's log since. */
  LogPosition position;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("command_id", self.command_id);
    visit("database", self.database);
    visit("member", self.member);
    visit("kind", self.kind);
    visit("term", self.term);
    visit("answered", self.answered);
    visit("accepted", self.accepted);
    visit("member_term", self.member_term);
    visit("position", self.position);
  }
};

/** What an observer last saw of a member. */
enum class MemberSight : std::uint8_t {
  /** Nothing was tried yet. */
  kUnknown = 0,
  kAnswers = 1,
  /** Its machine answers that nothing listens there. */
  kRefuses = 2,
  /** No answer came within the time allowed. */
  kSilent = 3,
};

/** A proxy's report that the primary of a term no longer answers it. */
struct PrimarySuspicion {
  DatabaseId database;
  MemberId primary;
  std::uint64_t term = 0;
  MemberSight sight = MemberSight::kUnknown;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("primary", self.primary);
    visit("term", self.term);
    visit("sight", self.sight);
  }
};

/** Asks an owner of a replica's connections to try both the primary and the
 * replica. */
struct ObserveRequest {
  std::uint64_t inquiry_id = 0;
  DatabaseId database;
  MemberInfo primary;
  MemberInfo replica;
  /** How long to wait for an answer before a member counts as silent. */
  std::chrono::milliseconds patience{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("inquiry_id", self.inquiry_id);
    visit("database", self.database);
    visit("primary", self.primary);
    visit("replica", self.replica);
    visit("patience", self.patience);
  }
};

/** Answers an ObserveRequest. */
struct ObserveReply {
  std::uint64_t inquiry_id = 0;
  DatabaseId database;
  MemberId replica;
  MemberSight primary_sight = MemberSight::kUnknown;
  MemberSight replica_sight = MemberSight::kUnknown;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("inquiry_id", self.inquiry_id);
    visit("database", self.database);
    visit("replica", self.replica);
    visit("primary_sight", self.primary_sight);
    visit("replica_sight", self.replica_sight);
  }
};

/** The entries of control's state that changed since a revision. */
struct ClusterUpdate {
  /** Everything after this revision is in the update; 0 for the whole. */
  std::uint64_t from_revision = 0;
  std::uint64_t revision = 0;
  std::vector<DatabaseTerm> databases;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("from_revision", self.from_revision);
    visit("revision", self.revision);
    visit("databases", self.databases);
  }
};

/** Asks control for what changed since a revision. */
struct ClusterUpdateRequest {
  std::uint64_t revision = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("revision", self.revision);
  }
};

/** Says who leads control, in answer to a message that only the leader can
 * serve; empty while it is not known. */
struct ControlRedirect {
  NodeId leader;
  std::string leader_url;
  /** The leader's term in the control log; a lower one is out of date. */
  std::uint64_t control_term = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("leader", self.leader);
    visit("leader_url", self.leader_url);
    visit("control_term", self.control_term);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_MESSAGES_FAILOVER_MESSAGES_H_
