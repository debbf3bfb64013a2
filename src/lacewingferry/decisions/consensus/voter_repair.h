#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_

// Defines VoterRepair, which replaces lost voters by spare learners.

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "lacewingferry/decisions/consensus/membership_change.h"

namespace lacewingferry {

/** How many replicas the control log shall have. */
struct RepairSettings {
  /** The voters wanted: an odd number from 3 to 9. */
  std::size_t voters = 3;
  /** Learners kept besides, ready to replace a voter. */
  std::size_t spares = 1;
  /** A voter silent for longer is lost and replaced. */
  std::chrono::milliseconds voter_silence{30'000};
  /** A learner silent for longer makes room for another. */
  std::chrono::milliseconds learner_silence{60'000};
  /** How long a join request counts; replicas repeat theirs. */
  std::chrono::milliseconds join_memory{5'000};
};

/** Throws UserError for a number of voters that isn't odd or not in 3..9. */
void CheckRepairSettings(const RepairSettings& settings);

/**
 * The leader's choice of the next change of replicas. It makes one change at
 * a time, and none without a quorum, for then none could be committed.
 *
 * A lost voter is removed only once the voters that are left number as many
 * as are wanted, so a replacement always adds before it removes.
 */
class VoterRepair {
 public:
  explicit VoterRepair(RepairSettings repair_settings);

  /** Notes a replica that asks to join. */
  void OnJoinRequested(std::chrono::steady_clock::time_point now,
                       const NodeId& node, const VoterId& voter);

  /** The change to propose now, if any. Ask whenever the leader's status may
   * have changed; once a second is enough. */
  std::optional<MembershipChange> Decide(
      std::chrono::steady_clock::time_point now, const GroupStatus& group);

 private:
  struct Joiner {
    NodeId node;
    std::chrono::steady_clock::time_point asked;
  };

  void ForgetOldJoiners(std::chrono::steady_clock::time_point now);
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
              const MemberStatus& status, const GroupStatus& group) const;
  std::size_t LiveVoters(std::chrono::steady_clock::time_point now,
                         const GroupStatus& group) const;

  RepairSettings settings;
  std::map<VoterId, Joiner> joiners;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_REPAIR_H_
