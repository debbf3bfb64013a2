#include "lacewingferry/decisions/consensus/raft_elector.h"

#include <tuple>

namespace lacewingferry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

RaftElector::RaftElector(RaftContext& shared, RaftJoiner& shared_joiner,
                         steady_clock::time_point now)
    : context(shared), joiner(shared_joiner), next_report(now) {
  this->ResetDeadline(now);
  // A replica that isn't a voter grants no votes, so it needn't wait for the
  // lease of a leader that it may have answered.
  if (!this->context.log.Configuration().IsVoter(this->context.self)) {
    this->deadline = now;
  }
}

void RaftElector::ResetDeadline(steady_clock::time_point now) {
  const RaftSettings& settings = this->context.settings;
  this->yielded = false;
  this->deadline = now + settings.election_timeout_min +
                   this->RandomUpTo(settings.election_timeout_max -
                                    settings.election_timeout_min);
}

milliseconds RaftElector::RandomUpTo(milliseconds limit) {
  std::uniform_int_distribution<milliseconds::rep> pick(0, limit.count());
  return milliseconds(pick(this->context.random));
}

void RaftElector::OnTick(steady_clock::time_point now) {
  if (now < this->deadline || this->context.role == RaftRole::kLeader) return;
  this->ReportFailure(now);
  if (!this->context.log.Configuration().IsVoter(this->context.self)) {
    this->context.BecomeFollower();
    this->joiner.RequestJoin(now);
    this->deadline = now + this->context.settings.join_retry;
  } else if (this->context.faults.skip_pre_vote) {
    this->StartElection(now);
  } else {
    this->StartPreVote(now);
  }
}

void RaftElector::ReportFailure(steady_clock::time_point now) {
  const bool candidate = this->context.role == RaftRole::kPreCandidate ||
                         this->context.role == RaftRole::kCandidate;
  if (!candidate || now < this->next_report) return;
  if (!this->context.hooks.election_failed) return;
  this->next_report = now + kReportInterval;
  this->context.hooks.election_failed(
      {this->context.log.Term(), this->votes.size(),
       this->context.log.Configuration().Quorum()});
}

void RaftElector::StartPreVote(steady_clock::time_point now) {
  this->context.BecomeFollower();
  this->context.role = RaftRole::kPreCandidate;
  this->votes = {this->context.self};
  this->deadline = now + this->context.settings.pre_vote_retry +
                   this->RandomUpTo(this->context.settings.heartbeat);
  this->RequestVotes(true);
  this->joiner.RequestJoin(now);
  this->CountVotes(now);
}

void RaftElector::StartElection(steady_clock::time_point now) {
  const std::uint64_t term = this->context.log.Term() + 1;
  this->context.log.SaveVote(term, this->context.self);
  this->context.BecomeFollower();
  this->context.role = RaftRole::kCandidate;
  this->votes = {this->context.self};
  this->ResetDeadline(now);
  this->RequestVotes(false);
  this->CountVotes(now);
}

void RaftElector::RequestVotes(bool pre_vote) {
  const ControlLog& log = this->context.log;
  VoteRequest request;
  request.from = this->context.self;
  request.term = log.Term() + (pre_vote ? 1 : 0);
  request.pre_vote = pre_vote;
  request.last_index = log.LastIndex();
  request.last_term = log.LastTerm();
  for (const ControlMember& member : log.Configuration().members) {
    if (member.role != ControlRole::kVoter) continue;
    if (member.voter == this->context.self) continue;
    request.to = member.voter;
    this->context.hooks.send(member.node, request);
  }
}

void RaftElector::CountVotes(steady_clock::time_point now) {
  const ControlConfiguration& voters = this->context.log.Configuration();
  std::size_t granted = 0;
  for (const VoterId& vote : this->votes) granted += voters.IsVoter(vote);
  if (granted < voters.Quorum()) return;
  if (this->context.role == RaftRole::kPreCandidate) {
    this->StartElection(now);
  } else if (this->context.role == RaftRole::kCandidate) {
    this->context.role = RaftRole::kLeader;
  }
}

void RaftElector::OnVoteRequest(steady_clock::time_point now,
                                const NodeId& from,
                                const VoteRequest& request) {
  if (this->HasLiveLeader(now)) return;
  if (request.pre_vote) {
    this->AnswerPreVote(now, from, request);
  } else {
    this->AnswerVote(now, from, request);
  }
}

bool RaftElector::HasLiveLeader(steady_clock::time_point now) const {
  return this->context.role == RaftRole::kLeader ||
         now < this->context.last_leader_contact +
                   this->context.settings.election_timeout_min;
}

bool RaftElector::LogIsUpToDate(const VoteRequest& request) const {
  const ControlLog& log = this->context.log;
  return std::make_tuple(request.last_term, request.last_index) >=
         std::make_tuple(log.LastTerm(), log.LastIndex());
}

void RaftElector::AnswerPreVote(steady_clock::time_point now,
                                const NodeId& from,
                                const VoteRequest& request) {
  const bool granted =
      request.term > this->context.log.Term() && this->LogIsUpToDate(request);
  this->Reply(from, request, granted);
  if (granted) this->YieldTo(now, request.from);
}

/**
 * Two voters that start a pre-vote at nearly the same time would both win it
 * and then split the vote. To avoid that, the pre-candidate with the smaller
 * identity postpones its election. It yields only once per election timeout,
 * since the other candidate might be able to send but not to receive.
 */
void RaftElector::YieldTo(steady_clock::time_point now,
                          const VoterId& candidate) {
  if (this->context.role != RaftRole::kPreCandidate || this->yielded) return;
  if (candidate < this->context.self) return;
  this->context.BecomeFollower();
  this->yielded = true;
  this->deadline = now + this->context.settings.election_timeout_min;
}

void RaftElector::AnswerVote(steady_clock::time_point now, const NodeId& from,
                             const VoteRequest& request) {
  ControlLog& log = this->context.log;
  if (request.term < log.Term()) {
    this->Reply(from, request, false);
    return;
  }
  const bool newer = request.term > log.Term();
  const bool free = newer || log.VotedFor().Empty();
  const bool granted =
      (free || log.VotedFor() == request.from) && this->LogIsUpToDate(request);
  if (newer) this->context.BecomeFollower();
  const bool early = this->context.faults.reply_before_sync;
  if (early) this->Reply(from, request, granted);
  if (newer || (granted && free)) {
    log.SaveVote(request.term, granted ? request.from : VoterId());
  }
  if (granted) this->ResetDeadline(now);
  if (!early) this->Reply(from, request, granted);
}

void RaftElector::Reply(const NodeId& to, const VoteRequest& request,
                        bool granted) {
  VoteReply reply;
  reply.from = this->context.self;
  reply.to = request.from;
  reply.term = granted ? request.term : this->context.log.Term();
  reply.pre_vote = request.pre_vote;
  reply.granted = granted;
  this->context.hooks.send(to, reply);
}

void RaftElector::OnVoteReply(steady_clock::time_point now,
                              const VoteReply& reply) {
  const std::uint64_t term = this->context.log.Term();
  if (!reply.granted) {
    if (reply.term > term) this->context.AdoptTerm(reply.term);
    return;
  }
  const RaftRole wanted =
      reply.pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const std::uint64_t expected = reply.pre_vote ? term + 1 : term;
  if (this->context.role != wanted || reply.term != expected) return;
  this->votes.insert(reply.from);
  this->CountVotes(now);
}

}  // namespace lacewingferry
