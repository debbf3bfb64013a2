#include "lacewingferry/decisions/consensus/raft_follower.h"

#include <algorithm>
#include <vector>

namespace lacewingferry {

using std::chrono::steady_clock;

namespace {

AppendReply MakeReply(const RaftContext& context, const VoterId& to,
                      std::uint64_t round) {
  AppendReply reply;
  reply.from = context.self;
  reply.to = to;
  reply.term = context.log.Term();
  reply.round = round;
  return reply;
}

bool IndexesAscend(const AppendRequest& request) {
  std::uint64_t expected = request.previous_index;
  for (const ControlEntry& entry : request.entries) {
    if (entry.index != ++expected) return false;
  }
  return true;
}

}  // namespace

bool RaftFollower::OnAppendRequest(steady_clock::time_point now,
                                   const NodeId& from,
                                   const AppendRequest& request) {
  if (!IndexesAscend(request)) return false;
  if (!this->AcceptLeader(now, from, request.from, request.term)) {
    this->context.hooks.send(
        from, MakeReply(this->context, request.from, request.round));
    return false;
  }
  AppendReply reply = MakeReply(this->context, request.from, request.round);
  reply.success = this->Matches(request);
  if (reply.success) {
    this->Store(request);
    reply.index = request.previous_index + request.entries.size();
    this->context.CommitUpTo(std::min(request.commit_index, reply.index));
  } else {
    reply.index = this->LastPossibleMatch(request.previous_index);
  }
  this->context.hooks.send(from, reply);
  return true;
}

bool RaftFollower::AcceptLeader(steady_clock::time_point now,
                                const NodeId& from, const VoterId& sender,
                                std::uint64_t term) {
  if (term < this->context.log.Term()) return false;
  if (term > this->context.log.Term()) this->context.AdoptTerm(term);
  if (this->context.role == RaftRole::kLeader) {
    throw InternalError("control log: two leaders in term " +
                        std::to_string(term));
  }
  this->context.role = RaftRole::kFollower;
  this->context.leader = sender;
  this->context.leader_node = from;
  this->context.last_leader_contact = now;
  return true;
}

bool RaftFollower::Matches(const AppendRequest& request) const {
  // Every later leader's log contains the committed entries, so they match even
  // if this log has discarded them.
  if (request.previous_index <= this->context.commit_index) return true;
  return this->context.log.TermAt(request.previous_index) ==
         request.previous_term;
}

std::uint64_t RaftFollower::LastPossibleMatch(
    std::uint64_t previous_index) const {
  const ControlLog& log = this->context.log;
  if (log.LastIndex() < previous_index) return log.LastIndex();
  // Skips all entries of the conflicting term. Committed entries never
  // conflict.
  const auto conflict = log.TermAt(previous_index);
  std::uint64_t index = previous_index - 1;
  while (index > this->context.commit_index && log.TermAt(index) == conflict) {
    --index;
  }
  return index;
}

void RaftFollower::Store(const AppendRequest& request) {
  ControlLog& log = this->context.log;
  const auto first_new =
      std::find_if(request.entries.begin(), request.entries.end(),
                   [this, &log](const ControlEntry& entry) {
                     return entry.index > this->context.commit_index &&
                            log.TermAt(entry.index) != entry.term;
                   });
  log.Append(std::vector<ControlEntry>(first_new, request.entries.end()));
}

bool RaftFollower::OnSnapshotRequest(steady_clock::time_point now,
                                     const NodeId& from,
                                     const SnapshotRequest& request) {
  const bool accepted =
      this->AcceptLeader(now, from, request.from, request.term);
  AppendReply reply = MakeReply(this->context, request.from, request.round);
  if (accepted) {
    if (request.last_index > this->context.commit_index) {
      this->context.log.InstallSnapshot(request.last_index, request.last_term,
                                        request.configuration, request.state);
      this->context.RestoreSnapshot();
      this->context.ReportSnapshot(true);
    }
    reply.success = true;
    reply.index = request.last_index;
  }
  this->context.hooks.send(from, reply);
  return accepted;
}

}  // namespace lacewingferry
