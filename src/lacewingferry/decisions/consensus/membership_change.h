#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_

// Defines MembershipChange, a membership change of one replica, and the check
// whether it is allowed.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "lacewingferry/core/control_configuration.h"

namespace lacewingferry {

enum class ChangeKind : std::uint8_t {
  kAddLearner,
  kPromote,
  kRemove,
};

/** Adds, promotes or removes one replica. */
struct MembershipChange {
  ChangeKind kind = ChangeKind::kAddLearner;
  VoterId voter;
  /** The node of a new learner; unused for other changes. */
  NodeId node;
};

/** Why a change was refused. */
enum class ChangeRefusal : std::uint8_t {
  kNone,
  kNotLeader,
  /** The leader has not committed an entry of its own term yet. */
  kNotReady,
  /** The previous change is not committed yet. */
  kChangePending,
  /** The change does not fit the replica: for example, it is to be added but
   * is a member already, or is to be removed but is not a member. */
  kNotApplicable,
  kNotCaughtUp,
  /** The connected voters would not be a majority of the new voters. */
  kNoMargin,
  kTooManyVoters,
};

/** What the leader knows about one replica. */
struct VoterStatus {
  ControlMember member;
  /** When the leader last received a reply from it; the current time for the
   * leader itself. */
  std::chrono::steady_clock::time_point last_heard;
  bool connected = false;
  bool caught_up = false;
};

/** What the leader knows about all replicas. */
struct GroupStatus {
  VoterId leader;
  /** Why the state of the log forbids any change now; kNone if it does not. */
  ChangeRefusal refusal = ChangeRefusal::kNotLeader;
  std::vector<VoterStatus> members;
};

/** The largest number of voters. One more is allowed while a voter is being
 * replaced. */
constexpr std::size_t kMaxVoters = 9;

/** Returns why a change is refused; kNone if it is allowed. */
ChangeRefusal CheckChange(const GroupStatus& group,
                          const MembershipChange& change);

/** Returns the configuration after a change that CheckChange allowed. */
ControlConfiguration ApplyChange(ControlConfiguration configuration,
                                 const MembershipChange& change);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_MEMBERSHIP_CHANGE_H_
