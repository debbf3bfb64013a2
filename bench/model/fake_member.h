#ifndef BENCH_MODEL_FAKE_MEMBER_H_
#define BENCH_MODEL_FAKE_MEMBER_H_

// Defines FakeMember, the data and the rules of terms of one backend server
// in virtual time.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/group_member_state.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/core/statement.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry::model {

/** One committed transaction: the keys that it set. */
struct FakeEntry {
  LogPosition position;
  std::vector<std::pair<std::string, std::string>> puts;
};

/** What the primary knows of a replica. */
struct FakeReplicaReport {
  std::uint64_t term = 0;
  LogPosition durable;
  LogPosition applied;
};

/**
 * A member's log, state and term. The callers' statements that it knows:
 *
 *   PUT $1 $2     sets a key; fails where the member is no primary
 *   PUTNEW $1 $2  the same, but fails with 23505 if the key is set
 *   GET $1        one row with the value; no row for a missing key
 */
struct FakeMember {
  MemberInfo info;
  bool alive = true;
  bool primary = false;
  bool fenced = false;
  std::uint64_t term = 0;
  /** The primary that the member follows; empty for none. */
  MemberId following;
  std::vector<FakeEntry> log;
  /** How many entries of the log reads see. */
  std::size_t applied = 0;
  std::map<std::string, std::string> state;
  std::map<MemberId, FakeReplicaReport> replicas;
  /** Counts truncations, so that late applications are recognised. */
  std::uint64_t history_epoch = 0;

  LogPosition Durable() const;
  LogPosition Applied() const;

  /** Refuses every term below the new one; returns whether it was accepted. */
  bool Fence(std::uint64_t new_term);
  bool Promote(std::uint64_t new_term);
  bool Follow(std::uint64_t new_term, const MemberId& primary_id);

  /** Appends an entry and applies it at once; for the primary. */
  void Commit(std::vector<std::pair<std::string, std::string>> puts);

  /** How many entries this log's beginning has in common with another's. */
  std::size_t CommonWith(const std::vector<FakeEntry>& source) const;

  /** Makes the log's beginning equal to another's and appends what it lacks.
   * Returns how many of this member's own entries were dropped. */
  std::size_t CopyLog(const std::vector<FakeEntry>& source);

  /** Lets reads see entries up to a count. */
  void ApplyTo(std::size_t count);

  /** The rows of STATUS. */
  std::vector<GroupMemberState> State() const;

  /** What the member says of itself to control now. */
  MemberAnnouncement Announcement(std::uint64_t sequence) const;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAKE_MEMBER_H_
