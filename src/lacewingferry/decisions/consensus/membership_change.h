#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_

// Defines MembershipChange, a change of one replica, and when it is allowed.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/control_configuration.h"

namespace lacewingferry {

/** What a change does with its replica. */
enum class ChangeKind : std::uint8_t {
  kAddLearner,
  kPromote,
  kRemove,
};

/** A change of one replica. */
struct MembershipChange {
  ChangeKind kind = ChangeKind::kAddLearner;
  VoterId voter;
  /** Where a new learner runs; unused otherwise. */
  NodeId node;
};

/** Why a change was refused. */
enum class ChangeRefusal : std::uint8_t {
  kNone,
  kNotLeader,
  /** The leader has not committed an entry of its own term yet. */
  kNotReady,
  /** The change before this one is not committed yet. */
  kChangePending,
  /** The replica isn't there, or is there already. */
  kNotApplicable,
  kNotCaughtUp,
  /** The voters heard from would be no majority of the new voters. */
  kNoMargin,
  kTooManyVoters,
};

/** What a leader knows of one replica. */
struct MemberStatus {
  ControlMember member;
  /** When it was last heard; the present for the leader itself. */
  std::chrono::steady_clock::time_point last_heard;
  bool connected = false;
  bool caught_up = false;
};

/** What a leader knows of all replicas. */
struct GroupStatus {
  VoterId leader;
  /** Whether a change may be proposed now, as far as the log is concerned. */
  ChangeRefusal refusal = ChangeRefusal::kNotLeader;
  std::vector<MemberStatus> members;
};

/** The largest voter set, and one more while a voter is being replaced. */
constexpr std::size_t kMaxVoters = 9;

/** Why a change can't be made to a group; kNone if it can. */
ChangeRefusal CheckChange(const GroupStatus& group,
                          const MembershipChange& change);

/** The configuration after a change that CheckChange allowed. */
ControlConfiguration ApplyChange(ControlConfiguration configuration,
                                 const MembershipChange& change);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_
