#include "lacewingferry/core/control_configuration.h"

#include <algorithm>

namespace lacewingferry {

const ControlMember* ControlConfiguration::Find(const VoterId& voter) const {
  for (const ControlMember& member : this->members) {
    if (member.voter == voter) return &member;
  }
  return nullptr;
}

bool ControlConfiguration::IsVoter(const VoterId& voter) const {
  const ControlMember* member = this->Find(voter);
  return member != nullptr && member->role == ControlRole::kVoter;
}

std::size_t ControlConfiguration::VoterCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(),
                    [](const ControlMember& member) {
                      return member.role == ControlRole::kVoter;
                    }));
}

}  // namespace lacewingferry
