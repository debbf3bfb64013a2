#include "lacewingferry/decisions/consensus/voter_repair.h"

#include <algorithm>
#include <string>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMinVoters = 3;

bool IsVoter(const VoterStatus& status) {
  return status.member.role == ControlRole::kVoter;
}

std::size_t CountVoters(const GroupStatus& group) {
  return static_cast<std::size_t>(
      std::count_if(group.members.begin(), group.members.end(), IsVoter));
}

bool HasQuorum(const GroupStatus& group) {
  const auto connected = static_cast<std::size_t>(std::count_if(
      group.members.begin(), group.members.end(),
      [](const VoterStatus& s) { return IsVoter(s) && s.connected; }));
  return connected >= CountVoters(group) / 2 + 1;
}

/** Whether the replica's VM is connected again under another identity. */
bool IsReplacedOnItsNode(const VoterStatus& status, const GroupStatus& group) {
  return std::any_of(group.members.begin(), group.members.end(),
                     [&status](const VoterStatus& other) {
                       return other.member.node == status.member.node &&
                              other.member.voter != status.member.voter &&
                              other.connected;
                     });
}

MembershipChange Change(ChangeKind kind, const VoterStatus& status) {
  return MembershipChange{kind, status.member.voter, status.member.node};
}

}  // namespace

void CheckRepairSettings(const RepairSettings& settings) {
  const bool odd = settings.voters % 2 == 1;
  if (odd && settings.voters >= kMinVoters && settings.voters <= kMaxVoters) {
    return;
  }
  throw UserError("control log: voters is " + std::to_string(settings.voters) +
                  " and must be 3, 5, 7 or 9");
}

VoterRepair::VoterRepair(RepairSettings repair_settings)
    : settings(repair_settings) {
  CheckRepairSettings(this->settings);
}

bool VoterRepair::OnJoinRequested(steady_clock::time_point now,
                                  const NodeId& node, const VoterId& voter) {
  this->RemoveExpiredJoiners(now);
  const bool first = this->joiners.count(voter) == 0;
  // A VM has one replica at a time, so an earlier identity of it is gone.
  for (auto it = this->joiners.begin(); it != this->joiners.end();) {
    it = it->second.node == node ? this->joiners.erase(it) : std::next(it);
  }
  this->joiners[voter] = Joiner{node, now};
  return first;
}

std::optional<MembershipChange> VoterRepair::Decide(
    steady_clock::time_point now, const GroupStatus& group) {
  this->RemoveExpiredJoiners(now);
  if (group.refusal != ChangeRefusal::kNone || !HasQuorum(group)) {
    return std::nullopt;
  }
  auto change = this->RemoveVoter(now, group);
  if (!change) change = this->PromoteLearner(now, group);
  if (!change) change = this->RemoveLearner(now, group);
  if (!change) change = this->AddLearner(group);
  // A learner that is removed later comes back only if it asks again.
  if (change) this->joiners.erase(change->voter);
  return change;
}

void VoterRepair::RemoveExpiredJoiners(steady_clock::time_point now) {
  for (auto it = this->joiners.begin(); it != this->joiners.end();) {
    const bool old = now - it->second.requested_at > this->settings.join_memory;
    it = old ? this->joiners.erase(it) : std::next(it);
  }
}

bool VoterRepair::IsLost(steady_clock::time_point now,
                         const VoterStatus& status,
                         const GroupStatus& group) const {
  if (status.connected) return false;
  if (IsReplacedOnItsNode(status, group)) return true;
  const auto limit = IsVoter(status) ? this->settings.voter_silence
                                     : this->settings.learner_silence;
  return now - status.last_heard > limit;
}

std::size_t VoterRepair::LiveVoters(steady_clock::time_point now,
                                    const GroupStatus& group) const {
  std::size_t live = 0;
  for (const VoterStatus& status : group.members) {
    live += IsVoter(status) && !this->IsLost(now, status, group);
  }
  return live;
}

/**
 * Removes a voter only while there are more than settings.voters, that is after
 * a replacement was added. Chooses the voter that has been silent for longest;
 * unless that one is lost, also requires that more than settings.voters are
 * live. Removing a lost voter never lowers the number of failures that the
 * group survives, since the quorum doesn't grow and no live voter is
 * removed.
 */
std::optional<MembershipChange> VoterRepair::RemoveVoter(
    steady_clock::time_point now, const GroupStatus& group) const {
  if (CountVoters(group) <= this->settings.voters) return std::nullopt;
  const VoterStatus* chosen = nullptr;
  for (const VoterStatus& status : group.members) {
    if (!IsVoter(status) || status.member.voter == group.leader) continue;
    if (chosen == nullptr || status.last_heard < chosen->last_heard) {
      chosen = &status;
    }
  }
  if (chosen == nullptr) return std::nullopt;
  const MembershipChange change = Change(ChangeKind::kRemove, *chosen);
  const bool live_one = !this->IsLost(now, *chosen, group);
  if (live_one && this->LiveVoters(now, group) <= this->settings.voters) {
    return std::nullopt;
  }
  const bool allowed = CheckChange(group, change) == ChangeRefusal::kNone;
  return allowed ? std::make_optional(change) : std::nullopt;
}

std::optional<MembershipChange> VoterRepair::PromoteLearner(
    steady_clock::time_point now, const GroupStatus& group) const {
  if (CountVoters(group) > this->settings.voters) return std::nullopt;
  if (this->LiveVoters(now, group) >= this->settings.voters) {
    return std::nullopt;
  }
  for (const VoterStatus& status : group.members) {
    if (IsVoter(status)) continue;
    const MembershipChange change = Change(ChangeKind::kPromote, status);
    if (CheckChange(group, change) == ChangeRefusal::kNone) return change;
  }
  return std::nullopt;
}

std::optional<MembershipChange> VoterRepair::RemoveLearner(
    steady_clock::time_point now, const GroupStatus& group) const {
  for (const VoterStatus& status : group.members) {
    if (!IsVoter(status) && this->IsLost(now, status, group)) {
      return Change(ChangeKind::kRemove, status);
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> VoterRepair::AddLearner(
    const GroupStatus& group) const {
  const std::size_t voters = CountVoters(group);
  const std::size_t learners = group.members.size() - voters;
  const std::size_t missing =
      this->settings.voters - std::min(voters, this->settings.voters);
  if (learners >= this->settings.spares + missing) return std::nullopt;
  for (const auto& [voter, joiner] : this->joiners) {
    const MembershipChange change{ChangeKind::kAddLearner, voter, joiner.node};
    if (CheckChange(group, change) == ChangeRefusal::kNone) return change;
  }
  return std::nullopt;
}

}  // namespace lacewingferry
