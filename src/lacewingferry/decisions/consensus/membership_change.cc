#include "lacewingferry/decisions/consensus/membership_change.h"

#include <algorithm>

namespace lacewingferry {
namespace {

const VoterStatus* FindMember(const GroupStatus& group, const VoterId& voter) {
  for (const VoterStatus& status : group.members) {
    if (status.member.voter == voter) return &status;
  }
  return nullptr;
}

/** Counts the voters other than `without`, optionally only connected ones. */
std::size_t CountVoters(const GroupStatus& group, const VoterId& without,
                        bool connected_only) {
  std::size_t count = 0;
  for (const VoterStatus& status : group.members) {
    if (status.member.role != ControlRole::kVoter) continue;
    if (status.member.voter == without) continue;
    if (connected_only && !status.connected) continue;
    ++count;
  }
  return count;
}

bool IsMajority(std::size_t part, std::size_t whole) {
  return part >= whole / 2 + 1;
}

ChangeRefusal CheckPromotion(const GroupStatus& group,
                             const VoterStatus& status) {
  if (status.member.role == ControlRole::kVoter) {
    return ChangeRefusal::kNotApplicable;
  }
  if (!status.connected || !status.caught_up) {
    return ChangeRefusal::kNotCaughtUp;
  }
  const VoterId nobody;
  const std::size_t voters = CountVoters(group, nobody, false) + 1;
  if (voters > kMaxVoters + 1) return ChangeRefusal::kTooManyVoters;
  const std::size_t connected = CountVoters(group, nobody, true) + 1;
  return IsMajority(connected, voters) ? ChangeRefusal::kNone
                                       : ChangeRefusal::kNoMargin;
}

ChangeRefusal CheckRemoval(const GroupStatus& group,
                           const VoterStatus& status) {
  const VoterId& voter = status.member.voter;
  if (voter == group.leader) return ChangeRefusal::kNotApplicable;
  if (status.member.role == ControlRole::kLearner) return ChangeRefusal::kNone;
  const std::size_t voters = CountVoters(group, voter, false);
  const std::size_t connected = CountVoters(group, voter, true);
  return IsMajority(connected, voters) ? ChangeRefusal::kNone
                                       : ChangeRefusal::kNoMargin;
}

}  // namespace

ChangeRefusal CheckChange(const GroupStatus& group,
                          const MembershipChange& change) {
  if (group.refusal != ChangeRefusal::kNone) return group.refusal;
  const VoterStatus* status = FindMember(group, change.voter);
  if (change.kind == ChangeKind::kAddLearner) {
    return status == nullptr ? ChangeRefusal::kNone
                             : ChangeRefusal::kNotApplicable;
  }
  if (status == nullptr) return ChangeRefusal::kNotApplicable;
  return change.kind == ChangeKind::kPromote ? CheckPromotion(group, *status)
                                             : CheckRemoval(group, *status);
}

ControlConfiguration ApplyChange(ControlConfiguration configuration,
                                 const MembershipChange& change) {
  auto& members = configuration.members;
  switch (change.kind) {
    case ChangeKind::kAddLearner:
      members.push_back({change.voter, change.node, ControlRole::kLearner});
      break;
    case ChangeKind::kPromote:
      for (ControlMember& member : members) {
        if (member.voter == change.voter) member.role = ControlRole::kVoter;
      }
      break;
    case ChangeKind::kRemove:
      members.erase(std::remove_if(members.begin(), members.end(),
                                   [&change](const ControlMember& member) {
                                     return member.voter == change.voter;
                                   }),
                    members.end());
      break;
  }
  return configuration;
}

}  // namespace lacewingferry
