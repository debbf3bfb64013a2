#include "lacewingferry/decisions/consensus/raft_node.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace lacewingferry {

using std::chrono::steady_clock;

namespace {

RaftContext MakeContext(RaftParts parts, steady_clock::time_point now) {
  CheckRaftSettings(parts.settings);
  RaftContext context{
      std::move(parts.self),
      std::move(parts.settings),
      std::move(parts.hooks),
      parts.faults,
      ControlLog(std::move(parts.storage), std::move(parts.codec)),
      std::mt19937_64(parts.seed)};
  context.last_leader_contact = now;
  if (parts.faults.forget_leader_at_restart) {
    context.last_leader_contact -= context.settings.election_timeout_min;
  }
  return context;
}

}  // namespace

RaftNode::RaftNode(RaftParts parts, steady_clock::time_point now)
    : repair(parts.repair ? std::make_optional<VoterRepair>(*parts.repair)
                          : std::nullopt),
      context(MakeContext(std::move(parts), now)),
      joiner(this->context),
      elector(this->context, this->joiner, now),
      follower(this->context) {
  this->context.RestoreSnapshot();
}

steady_clock::time_point RaftNode::NextWakeup() const {
  if (this->stopped) return steady_clock::time_point::max();
  return this->leader ? this->leader->NextHeartbeat()
                      : this->elector.Deadline();
}

void RaftNode::Run(steady_clock::time_point now,
                   const std::function<void()>& action) {
  if (this->stopped) return;
  try {
    action();
    this->UpdateRole(now);
  } catch (const StorageError& error) {
    this->Stop(error.what());
  }
}

void RaftNode::Stop(const std::string& reason) {
  this->stopped = true;
  this->leader.reset();
  this->context.BecomeFollower();
  this->ReportLeadership();
  this->context.hooks.failed(reason);
}

void RaftNode::UpdateRole(steady_clock::time_point now) {
  const bool leads = this->context.role == RaftRole::kLeader;
  if (leads && !this->leader) {
    this->context.leader = this->context.self;
    this->context.leader_node =
        this->Configuration().Find(this->context.self)->node;
    this->leader.emplace(this->context, now);
  } else if (!leads && this->leader) {
    this->leader.reset();
    this->elector.ResetDeadline(now);
  }
  this->ReportLeadership();
}

void RaftNode::OnTick(steady_clock::time_point now) {
  this->Run(now, [this, now] {
    if (this->leader) {
      this->leader->OnTick(now);
    } else {
      this->elector.OnTick(now);
    }
  });
  this->Repair(now);
}

void RaftNode::OnMessage(steady_clock::time_point now, const NodeId& from,
                         const ConsensusMessage& message) {
  if (!this->IsAddressedToSelf(message)) {
    this->OnStrayMessage(now, from, message);
    return;
  }
  this->Run(now, [&] { this->Dispatch(now, from, message); });
  this->Repair(now);
}

void RaftNode::OnStrayMessage(steady_clock::time_point now, const NodeId& from,
                              const ConsensusMessage& message) {
  const bool leads = std::holds_alternative<AppendRequest>(message) ||
                     std::holds_alternative<SnapshotRequest>(message);
  if (!leads) return;
  this->Run(now, [&] { this->joiner.OnNodesLearned({from}); });
}

void RaftNode::Repair(steady_clock::time_point now) {
  if (!this->repair || !this->CanServeReads(now)) return;
  const auto change = this->repair->Decide(now, this->leader->Status(now));
  if (change) this->ProposeChange(now, *change);
}

bool RaftNode::IsAddressedToSelf(const ConsensusMessage& message) const {
  return std::visit(
      [this](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, JoinRequest>) {
          return true;
        } else {
          return body.to == this->context.self;
        }
      },
      message);
}

void RaftNode::Dispatch(steady_clock::time_point now, const NodeId& from,
                        const ConsensusMessage& message) {
  if (const auto* append = std::get_if<AppendRequest>(&message)) {
    if (this->follower.OnAppendRequest(now, from, *append)) {
      this->OnLeaderHeard(now);
    }
  } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message)) {
    if (this->follower.OnSnapshotRequest(now, from, *snapshot)) {
      this->OnLeaderHeard(now);
    }
  } else if (const auto* reply = std::get_if<AppendReply>(&message)) {
    if (this->leader) this->leader->OnAppendReply(now, *reply);
  } else if (const auto* request = std::get_if<VoteRequest>(&message)) {
    this->OnVoteRequest(now, from, *request);
  } else if (const auto* vote = std::get_if<VoteReply>(&message)) {
    this->elector.OnVoteReply(now, *vote);
  } else if (const auto* join = std::get_if<JoinRequest>(&message)) {
    this->OnJoinRequest(now, from, join->from);
  } else if (const auto* redirect = std::get_if<JoinRedirect>(&message)) {
    this->joiner.OnNodesLearned(redirect->nodes);
  }
}

void RaftNode::OnLeaderHeard(steady_clock::time_point now) {
  this->elector.ResetDeadline(now);
  this->joiner.ForgetLearnedNodes();
}

void RaftNode::OnVoteRequest(steady_clock::time_point now, const NodeId& from,
                             const VoteRequest& request) {
  // A voter that was removed while it was disconnected still requests votes; it
  // may rejoin as a learner.
  const bool known = this->Configuration().Find(request.from) != nullptr;
  if (!known) this->OnJoinRequest(now, from, request.from);
  this->elector.OnVoteRequest(now, from, request);
}

void RaftNode::OnJoinRequest(steady_clock::time_point now, const NodeId& from,
                             const VoterId& voter) {
  if (!this->leader) {
    this->RedirectJoin(from, voter);
    return;
  }
  const bool known = this->Configuration().Find(voter) != nullptr;
  if (!this->repair || known) return;
  const bool first = this->repair->OnJoinRequested(now, from, voter);
  const RaftHooks& hooks = this->context.hooks;
  if (first && hooks.join_requested) hooks.join_requested(voter, from);
}

void RaftNode::RedirectJoin(const NodeId& to, const VoterId& voter) {
  JoinRedirect redirect{this->context.self, voter, {}};
  if (this->context.leader.Empty()) {
    for (const ControlMember& member : this->Configuration().members) {
      if (member.node != to) redirect.nodes.push_back(member.node);
    }
  } else {
    redirect.nodes.push_back(this->context.leader_node);
  }
  if (!redirect.nodes.empty()) this->context.hooks.send(to, redirect);
}

void RaftNode::SetSeeds(std::vector<NodeId> seeds) {
  this->context.settings.seeds = std::move(seeds);
}

std::optional<std::uint64_t> RaftNode::Propose(steady_clock::time_point now,
                                               std::string payload) {
  std::optional<std::uint64_t> index;
  this->Run(now, [&] {
    if (this->leader) index = this->leader->Propose(now, std::move(payload));
  });
  return this->stopped ? std::nullopt : index;
}

ChangeResult RaftNode::ProposeChange(steady_clock::time_point now,
                                     const MembershipChange& change) {
  ChangeResult result;
  result.refusal = CheckChange(this->Status(now), change);
  if (result.refusal != ChangeRefusal::kNone) return result;
  this->Run(now,
            [&] { result.index = this->leader->ProposeChange(now, change); });
  if (this->stopped) return {std::nullopt, ChangeRefusal::kNotLeader};
  return result;
}

bool RaftNode::CanServeReads(steady_clock::time_point now) const {
  return this->leader && this->leader->CanServeReads(now);
}

GroupStatus RaftNode::Status(steady_clock::time_point now) const {
  return this->leader ? this->leader->Status(now) : GroupStatus{};
}

Leadership RaftNode::CurrentLeadership() const {
  return Leadership{this->Term(), this->context.leader,
                    this->context.leader_node, this->leader.has_value()};
}

void RaftNode::ReportLeadership() {
  const Leadership current = this->CurrentLeadership();
  const bool same = current.term == this->reported.term &&
                    current.leader == this->reported.leader &&
                    current.self == this->reported.self;
  if (same) return;
  this->reported = current;
  this->context.hooks.leadership_changed(current);
}

}  // namespace lacewingferry
