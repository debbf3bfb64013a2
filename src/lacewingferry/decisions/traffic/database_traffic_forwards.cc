#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/traffic/database_traffic.h"
#include "lacewingferry/decisions/traffic/plain_read.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The time that an owner has for a request, so that its answer is back
 * before the caller's deadline. */
milliseconds TimeForOwner(steady_clock::duration left) {
  constexpr milliseconds kLongestWay{45};
  const auto whole = std::chrono::duration_cast<milliseconds>(left);
  return whole - std::min(kLongestWay, whole / 4);
}

/** Whether a second run does no harm. */
bool MayRunTwice(const StatementRequest& request) {
  return IsPlainRead(request) || request.repeatable ||
         !request.request_id.Empty();
}

}  // namespace

void DatabaseTraffic::Forward(const RoutedPtr& routed, const NodeId& owner,
                              const MemberId& member,
                              std::chrono::nanoseconds return_time) {
  ForwardRequest forward;
  forward.member = member;
  forward.request = routed->job.request;
  forward.request.timeout = TimeForOwner(routed->job.deadline - this->now);
  if (forward.request.max_age) {
    forward.request.fresh_position =
        this->FreshPosition(*forward.request.max_age, return_time);
    // The data grows older on the way back.
    *forward.request.max_age -=
        std::chrono::duration_cast<milliseconds>(return_time);
  }
  Job attempt = this->MakeAttempt(routed);
  forward.term = attempt.term;
  this->hooks.send(
      owner,
      this->forwards.Add(
          this->now,
          ForwardedJob{
              std::move(attempt), owner, member, std::move(forward), {}, {}}));
}

void DatabaseTraffic::OnForward(steady_clock::time_point present,
                                const NodeId& from,
                                const ForwardRequest& forward) {
  this->now = present;
  const ForwardArrival arrival = this->inbox.OnArrival(present, from, forward);
  if (arrival == ForwardArrival::kRunning) return;
  if (arrival == ForwardArrival::kAnswered) {
    this->SendStoredOutcome(from, forward);
    return;
  }
  if (arrival == ForwardArrival::kUnknown && !MayRunTwice(forward.request)) {
    this->hooks.send(
        from, ForwardReply{forward.forward_id, this->id,
                           UnknownOutcome{"the owner was started anew"}});
    return;
  }
  Job job;
  job.request = forward.request;
  job.received = present;
  job.deadline = present + forward.request.timeout;
  job.term = forward.term;
  job.reply = [this, from, forward](const Outcome& outcome) {
    this->inbox.OnOutcome(from, forward, outcome);
    this->hooks.send(from, ForwardReply{forward.forward_id, this->id, outcome});
  };
  this->owned.Run(present, forward.member, std::move(job));
}

void DatabaseTraffic::SendStoredOutcome(const NodeId& from,
                                        const ForwardRequest& forward) {
  Outcome outcome = this->inbox.StoredOutcome(from, forward.forward_id);
  const auto* answer = std::get_if<Answered>(&outcome);
  // An acknowledgement that is sent again leaves now: it needs the lease on
  // its own term now, whatever held when it left for the first time. An answer
  // without a position began a transaction.
  const bool written = answer != nullptr && answer->position.term > 0;
  const std::uint64_t term = written ? answer->position.term : forward.term;
  const bool silenced = answer != nullptr && !answer->served_by_replica &&
                        !this->owned.MayAnswer(this->now, term);
  if (silenced) outcome = UnknownOutcome{"the term of the answer has ended"};
  this->hooks.send(from, ForwardReply{forward.forward_id, this->id, outcome});
}

void DatabaseTraffic::OnForwardReply(steady_clock::time_point present,
                                     const NodeId& from,
                                     const ForwardReply& reply) {
  this->now = present;
  const auto forwarded = this->forwards.Take(reply.forward_id, from);
  if (forwarded) forwarded->job.reply(reply.outcome);
}

void DatabaseTraffic::OnOwnerSilent(const ForwardedJob& forwarded) {
  const StatementRequest& request = forwarded.job.request;
  if (request.kind == RequestKind::kRead && request.transaction.Empty()) {
    forwarded.job.reply(NotRun{RefusalCode::kMemberUnreachable,
                               "the owner of the connection did not answer"});
    return;
  }
  forwarded.job.reply(
      UnknownOutcome{"the owner of the connection did not answer"});
}

}  // namespace lacewingferry
