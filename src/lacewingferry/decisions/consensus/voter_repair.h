#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_

// Defines VoterRepair, which replaces lost voters with spare learners.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "lacewingferry/decisions/consensus/membership_change.h"

namespace lacewingferry {

/** The target number of replicas and the timeouts for replacing them. */
struct RepairSettings {
  /** Target number of voters: odd, from 3 to 9. */
  std::size_t voters = 3;
  /** Number of additional learners, ready to replace a voter. */
  std::size_t spares = 1;
  /** A voter silent for longer is considered lost and is replaced. */
  std::chrono::milliseconds voter_silence{30'000};
  /** A learner silent for longer is removed to make room for another. */
  std::chrono::milliseconds learner_silence{60'000};
  /** How long a join request stays valid; replicas repeat their requests. */
  std::chrono::milliseconds join_memory{5'000};
};

/** Throws UserError unless the number of voters is odd and from 3 to 9. */
void CheckRepairSettings(const RepairSettings& settings);

/**
 * Chooses the leader's next membership change. It makes one change at a time,
 * and none without a quorum, since it could not be committed.
 *
 * A lost voter is removed only if at least the target number of voters remains,
 * so a replacement is always added before a voter is removed.
 */
class VoterRepair {
 public:
  explicit VoterRepair(RepairSettings repair_settings);

  /** Records a join request. Returns whether it is the replica's first that
   * still counts. */
  bool OnJoinRequested(std::chrono::steady_clock::time_point now,
                       const NodeId& node, const VoterId& voter);

  /** Returns the change to propose now, if any. Call it whenever the leader's
   * status may have changed: each step that waits lengthens the time in which
   * the group can't bear another loss. */
  std::optional<MembershipChange> Decide(
      std::chrono::steady_clock::time_point now, const GroupStatus& group);

 private:
  struct Joiner {
    NodeId node;
    std::chrono::steady_clock::time_point requested_at;
  };

  void RemoveExpiredJoiners(std::chrono::steady_clock::time_point now);
  std::optional<MembershipChange> PromoteLearner(
      std::chrono::steady_clock::time_point now,
      const GroupStatus& group) const;
  std::optional<MembershipChange> RemoveVoter(
      std::chrono::steady_clock::time_point now,
      const GroupStatus& group) const;
  std::optional<MembershipChange> RemoveLearner(
      std::chrono::steady_clock::time_point now,
      const GroupStatus& group) const;
  std::optional<MembershipChange> AddLearner(const GroupStatus& group) const;
  bool IsLost(std::chrono::steady_clock::time_point now,
              const VoterStatus& status, const GroupStatus& group) const;
  std::size_t LiveVoters(std::chrono::steady_clock::time_point now,
                         const GroupStatus& group) const;

  RepairSettings settings;
  std::map<VoterId, Joiner> joiners;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_
