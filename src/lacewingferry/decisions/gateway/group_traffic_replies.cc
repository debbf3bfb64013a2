#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"
#include "lacewingferry/decisions/gateway/statement_outcome.h"
#include "lacewingferry/decisions/gateway/statement_record.h"

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

/** How many times a statement is sent at most. */
constexpr int kMaxAttempts = 4;
/** The part of a prepared statement's shape that is logged. */
constexpr std::size_t kLoggedShapeBytes = 80;

/** Whether no member takes the statement. */
bool IsHopeless(StatementError error) {
  return error == StatementError::kTooLarge ||
         error == StatementError::kMalformed;
}

}  // namespace

void GroupTraffic::OnReply(steady_clock::time_point now, LinkId link,
                           const MemberReply& reply) {
  this->HandleReply(now, link, reply);
  this->ServeFreed(now);
}

void GroupTraffic::HandleReply(steady_clock::time_point now, LinkId link,
                               const MemberReply& reply) {
  const auto found = this->flights.find(link);
  if (found == this->flights.end() || found->second.expected.empty()) {
    this->CloseLink(now, link);
    return;
  }
  Flight& flight = found->second;
  // The flight may end before the run does.
  const RunPtr run = flight.run;
  const MemberRequest request = std::move(flight.expected.front());
  flight.expected.pop_front();
  Link* used = this->PoolOf(link)->Find(link);
  if (!reply.error) {
    used->state.OnRequestDone(request);
    if (request.kind == MemberRequestKind::kPrepare) {
      this->RecordPrepared(link, request);
    }
  }
  const bool last = flight.expected.empty() && flight.next.empty();
  if (last) {
    Flight ended = std::move(found->second);
    this->flights.erase(found);
    this->OnResult(now, link, std::move(ended), reply);
    return;
  }
  if (reply.error) {
    // The execution is sent together with its PREPARE and fails after it; its
    // client is told why the PREPARE failed. A statement isn't sent before its
    // session's settings are confirmed.
    if (request.kind == MemberRequestKind::kPrepare) {
      flight.unprepared = reply;
    } else {
      this->OnSetupFailed(now, link, run, reply);
    }
    return;
  }
  // What follows must not run outside the transaction.
  const bool rolled_back =
      run->in_transaction && reply.state != TransactionState::kOpen;
  if (rolled_back) {
    this->OnSetupFailed(now, link, run, reply);
  } else if (flight.expected.empty()) {
    this->SendNext(link, flight);
  }
}

/** Closes a connection that could not be given the session's settings. The
 * statement was not sent. */
void GroupTraffic::OnSetupFailed(steady_clock::time_point now, LinkId link,
                                 const RunPtr& run, const MemberReply& reply) {
  if (reply.error && IsHopeless(*reply.error) && !run->ended) {
    this->Fail(now, run, *reply.error, reply.error_text);
  }
  if (this->HasLink(link)) this->CloseLink(now, link);
}

void GroupTraffic::RecordPrepared(LinkId link,
                                  const MemberRequest& request) const {
  this->hooks.events.record(
      Event{EventCode::kStatementPrepared,
            EventLevel::kInfo,
            {{"database", this->database.Value()},
             {"member", this->member_of_link.at(link).Value()},
             {"link", std::to_string(link)},
             {"number", std::to_string(request.prepared)},
             {"writes", request.prepares_write ? "yes" : "no"},
             {"shape", request.argument.substr(0, kLoggedShapeBytes)},
             {"shape_bytes", std::to_string(request.argument.size())}}});
}

void GroupTraffic::OnResult(steady_clock::time_point now, LinkId link,
                            Flight flight, const MemberReply& reply) {
  const RunPtr run = flight.run;
  if (run == nullptr || run->ended) {
    // The reply to a roll-back of this proxy, or to a hedged copy of a
    // statement that has ended.
    if (run != nullptr) run->links.erase(link);
    this->ReleaseOrCloseLink(now, link, reply.state == TransactionState::kIdle);
    return;
  }
  run->links.erase(link);
  MemberPool& pool = *this->PoolOf(link);
  run->served_by = pool.Info().id;
  run->served_on = link;
  run->served_prepared = flight.prepared;
  if (reply.error) {
    this->OnRefusal(now, pool, link, flight, reply);
  } else {
    this->OnSuccess(now, pool, link, flight, reply);
  }
  this->CheckRecallDone(now);
}

void GroupTraffic::OnSuccess(steady_clock::time_point now, MemberPool& pool,
                             LinkId link, const Flight& flight,
                             const MemberReply& reply) {
  const RunPtr& run = flight.run;
  pool.OnAnswer(std::chrono::duration_cast<microseconds>(now - flight.sent),
                reply.position);
  const bool primary = pool.Info().id == this->view.term.primary;
  if (flight.leased && primary && reply.position) {
    this->history.Add(flight.sent, *reply.position);
  }
  if (reply.state == TransactionState::kOpen) {
    pool.Find(link)->phase = LinkPhase::kPinned;
    this->pinned[run->client] = link;
  } else {
    this->pinned.erase(run->client);
    this->ReleaseLink(link);
  }
  if (run->commits && !this->TryAcknowledge(now, flight, reply)) {
    this->Fail(now, run, StatementError::kUnknown,
               "the lease on the term ended before the answer");
    return;
  }
  ClientReply answer;
  answer.rows = reply.rows;
  answer.digest = reply.digest;
  answer.state = reply.state;
  answer.position = reply.position;
  this->Finish(now, run, std::move(answer));
}

/** Whether a commit may be acknowledged now. Records its position if so. */
bool GroupTraffic::TryAcknowledge(steady_clock::time_point now,
                                  const Flight& flight,
                                  const MemberReply& reply) {
  if (!flight.leased || !this->lease.Covers(now, flight.term)) return false;
  if (reply.position) {
    this->RecordIfUnconfirmed(flight, *reply.position);
    this->acknowledged = std::max(this->acknowledged, *reply.position);
  } else {
    this->acknowledged_unplaced = true;
  }
  return true;
}

/** Records the first write of a term that the primary leads by the members'
 * count and that control didn't confirm. */
void GroupTraffic::RecordIfUnconfirmed(const Flight& flight,
                                       const LogPosition& position) {
  const DatabaseTerm& known = this->view.term;
  const bool current = known.term == flight.term &&
                       known.phase == TermPhase::kSteady &&
                       known.leading_term != 0;
  if (!current || position.term <= known.leading_term ||
      position.term <= this->recorded_unconfirmed_term) {
    return;
  }
  this->recorded_unconfirmed_term = position.term;
  this->hooks.events.record(
      Event{EventCode::kUnconfirmedWriteAcknowledged,
            EventLevel::kWarning,
            {{"database", this->database.Value()},
             {"term", std::to_string(known.term)},
             {"member", known.primary.Value()},
             {"confirmed_term", std::to_string(known.leading_term)},
             {"position", std::to_string(position.term) + "." +
                              std::to_string(position.offset)}}});
}

/** Why a statement was refused. Whether it ran is what the answer to its own
 * request says; where it didn't, the member may have said the reason of its
 * preparation. */
MemberReply GroupTraffic::ReasonOf(const Flight& flight,
                                   const MemberReply& reply) {
  const bool not_run = OutcomeOf(*reply.error) == StatementOutcome::kNotRun;
  if (!flight.unprepared || !not_run) return reply;
  const StatementError error = *flight.unprepared->error;
  const bool is_reason = error == StatementError::kBusy ||
                         error == StatementError::kReadOnly ||
                         IsHopeless(error);
  MemberReply reason = reply;
  reason.error = is_reason ? error : StatementError::kUnknownPrepared;
  reason.error_text = flight.unprepared->error_text;
  return reason;
}

void GroupTraffic::OnRefusal(steady_clock::time_point now, MemberPool& pool,
                             LinkId link, const Flight& flight,
                             const MemberReply& answer) {
  const MemberReply reply = ReasonOf(flight, answer);
  const RunPtr& run = flight.run;
  const StatementError error = *reply.error;
  if (error == StatementError::kBusy) pool.OnBusy(now);
  if (error == StatementError::kLagging && run->least_position) {
    pool.OnLagging(now, *run->least_position);
  }
  if (run->in_transaction) {
    this->OnRefusalInTransaction(now, pool, link, run, reply);
    return;
  }
  // Where the member lacks a statement that was prepared on this connection, or
  // failed to prepare it, the connection's state is not what LinkState says.
  const bool prepare_ran =
      flight.unprepared &&
      OutcomeOf(*flight.unprepared->error) != StatementOutcome::kNotRun;
  const bool state_unknown =
      error == StatementError::kUnknownPrepared || prepare_ran;
  this->ReleaseOrCloseLink(
      now, link, !state_unknown && reply.state == TransactionState::kIdle);
  const bool not_run = OutcomeOf(*answer.error) == StatementOutcome::kNotRun;
  if (IsHopeless(error) || (!not_run && !run->IsRepeatable())) {
    this->Fail(now, run, ErrorToTell(error), reply.error_text);
    return;
  }
  run->avoided.insert(pool.Info().id);
  if (run->writes) this->RecordRepeated(flight, link, answer);
  const bool unprepared = error == StatementError::kUnknownPrepared;
  this->Retry(now, run, unprepared ? StatementError::kBusy : ErrorToTell(error),
              reply.error_text);
}

/** Tells that a write is sent again because it couldn't be prepared. Those that
 * a busy member refused are too many to tell. */
void GroupTraffic::RecordRepeated(const Flight& flight, LinkId link,
                                  const MemberReply& answer) const {
  const bool unprepared =
      flight.unprepared || answer.error == StatementError::kUnknownPrepared;
  if (!unprepared) return;
  const StatementRun& run = *flight.run;
  this->hooks.events.record(
      Event{EventCode::kStatementRepeated,
            EventLevel::kInfo,
            {{"request", run.statement.id.Value()},
             {"database", this->database.Value()},
             {"member", run.served_by.Value()},
             {"link", std::to_string(link)},
             {"attempts", std::to_string(run.attempts)},
             {"preparation", flight.unprepared
                                 ? StatementErrorName(*flight.unprepared->error)
                                 : "done"},
             {"answer", StatementErrorName(*answer.error)}}});
}

/** A member that answers busy has run nothing, so the transaction continues.
 * Any other refusal ends it. */
void GroupTraffic::OnRefusalInTransaction(steady_clock::time_point now,
                                          MemberPool& pool, LinkId link,
                                          const RunPtr& run,
                                          const MemberReply& reply) {
  const bool continues = reply.error == StatementError::kBusy &&
                         reply.state == TransactionState::kOpen &&
                         now < run->deadline;
  if (continues) {
    pool.Find(link)->phase = LinkPhase::kPinned;
    this->Submit(now, run);
    return;
  }
  this->pinned.erase(run->client);
  this->ReleaseOrCloseLink(now, link, reply.state == TransactionState::kIdle);
  // The session prepared it; only the transaction's connection lacks it.
  const bool unprepared = *reply.error == StatementError::kUnknownPrepared ||
                          (run->statement.kind == StatementKind::kExecute &&
                           *reply.error == StatementError::kMalformed);
  this->Fail(now, run,
             unprepared ? StatementError::kAborted : ErrorToTell(*reply.error),
             reply.error_text);
}

void GroupTraffic::Retry(steady_clock::time_point now, const RunPtr& run,
                         StatementError error, const std::string& text) {
  if (run->attempts >= kMaxAttempts || now >= run->deadline) {
    this->Fail(now, run, error, text);
    return;
  }
  this->Submit(now, run);
}

void GroupTraffic::Fail(steady_clock::time_point now, const RunPtr& run,
                        StatementError error, std::string text) {
  ClientReply reply = FailureReply(error, std::move(text));
  const bool is_commit = run->statement.kind == StatementKind::kCommit;
  reply.state = run->in_transaction && !is_commit ? TransactionState::kFailed
                                                  : TransactionState::kIdle;
  this->Finish(now, run, std::move(reply));
}

void GroupTraffic::Finish(steady_clock::time_point now, const RunPtr& run,
                          ClientReply reply) {
  run->ended = true;
  this->traffic_hooks.ended(now, run, std::move(reply));
}

}  // namespace lacewingferry
