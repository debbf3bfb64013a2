#ifndef LACEWINGFERRY_CORE_CONTROL_CONFIGURATION_H_
#define LACEWINGFERRY_CORE_CONTROL_CONFIGURATION_H_

// Defines ControlConfiguration, the voters and learners of the control log.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Whether a replica of the control log counts towards a quorum. */
enum class ControlRole : std::uint8_t { kLearner, kVoter };

/** One replica of the control log. */
struct ControlMember {
  VoterId voter;
  /** The process that holds the replica; messages go to it. */
  NodeId node;
  ControlRole role = ControlRole::kLearner;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("voter", self.voter);
    visit("node", self.node);
    visit("role", self.role);
  }
};

/** All replicas of the control log, in the order in which they joined. */
struct ControlConfiguration {
  std::vector<ControlMember> members;

  /** The member with an identity, or nullptr. */
  const ControlMember* Find(const VoterId& voter) const;

  /** Whether an identity is a voter, not a learner and not unknown. */
  bool IsVoter(const VoterId& voter) const;

  std::size_t VoterCount() const;

  /** The smallest number of voters that is a majority; 1 for no voters, so
   * that an empty configuration never has a quorum. */
  std::size_t Quorum() const { return this->VoterCount() / 2 + 1; }

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("members", self.members);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_CONTROL_CONFIGURATION_H_
