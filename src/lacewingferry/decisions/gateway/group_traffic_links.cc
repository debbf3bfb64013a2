#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"

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

MemberRequest GroupTraffic::RequestFor(const RunPtr& run,
                                       PreparedNumber prepared) const {
  MemberRequest request;
  request.id = run->statement.id;
  request.text = run->statement.text;
  if (!run->in_transaction) request.least_position = run->least_position;
  if (run->statement.kind == StatementKind::kExecute) {
    request.kind = MemberRequestKind::kExecute;
    request.prepared = prepared;
    request.argument = run->statement.argument;
  }
  return request;
}

void GroupTraffic::Send(steady_clock::time_point now, MemberPool& pool,
                        LinkId link, const RunPtr& run) {
  Link& used = *pool.Find(link);
  used.phase = LinkPhase::kBusy;
  pool.OnUsed(now, &used);
  run->awaited_link = 0;
  ++run->attempts;
  run->hedge_at = now + this->settings.hedge_delay;
  run->links.insert(link);
  Flight flight;
  flight.run = run;
  flight.sent = now;
  flight.leased = this->HasLease(now);
  flight.term = this->lease.Term();
  const PreparedStatement* prepared =
      run->statement.kind == StatementKind::kExecute
          ? run->session->FindPrepared(run->statement)
          : nullptr;
  LinkSetup setup = used.state.SetupFor(*run->session, prepared);
  flight.next = std::move(setup.requests);
  flight.next.push_back(this->RequestFor(run, setup.prepared));
  flight.prepared = setup.prepared;
  Flight& stored = this->flights[link] = std::move(flight);
  this->SendNext(link, stored);
}

/** Sends the reset and the session's settings as one batch, or, if none are
 * left, the remaining requests as one batch. A statement must not run under
 * the settings of another session, so it is sent only after the member has
 * confirmed them. PREPARE is not waited for: if it fails, the execution fails
 * as well. */
void GroupTraffic::SendNext(LinkId link, Flight& flight) {
  const auto is_value = [](const MemberRequest& request) {
    return request.kind == MemberRequestKind::kReset ||
           request.kind == MemberRequestKind::kSetValue;
  };
  const auto end =
      std::find_if_not(flight.next.begin(), flight.next.end(), is_value);
  const auto cut = end == flight.next.begin() ? flight.next.end() : end;
  const std::vector<MemberRequest> batch(flight.next.begin(), cut);
  flight.next.erase(flight.next.begin(), cut);
  flight.expected.assign(batch.begin(), batch.end());
  this->hooks.send(link, batch);
}

void GroupTraffic::SendPinned(steady_clock::time_point now, const RunPtr& run) {
  if (run->commits && !this->HasLease(now)) {
    // Without the lease the commit could not be acknowledged, so it is not
    // sent.
    this->EndTransaction(now, run->client);
    this->Fail(now, run, StatementError::kAborted,
               "the primary is being replaced");
    return;
  }
  const LinkId link = this->pinned.at(run->client);
  this->Send(now, *this->PoolOf(link), link, run);
}

void GroupTraffic::OnLinkOpened(steady_clock::time_point now, LinkId link,
                                const std::optional<LogPosition>& position) {
  MemberPool* pool = this->PoolOf(link);
  Link* opened = pool->Find(link);
  if (position && pool->Info().id == this->view.term.primary &&
      this->HasLease(opened->since)) {
    this->history.Add(opened->since, *position);
  }
  opened->phase = LinkPhase::kIdle;
  opened->last_used = now;
  pool->OnOpened();
  this->ServeWaiting(now);
}

void GroupTraffic::OnLinkLost(steady_clock::time_point now, LinkId link) {
  MemberPool* pool = this->PoolOf(link);
  const bool opening = pool->Find(link)->phase == LinkPhase::kOpening;
  pool->OnLost(now, opening);
  const MemberId member = pool->Info().id;
  pool->Remove(link);
  this->member_of_link.erase(link);
  auto flight = this->flights.extract(link);
  this->UnpinLost(link, !flight.empty());
  if (!flight.empty() && flight.mapped().run != nullptr) {
    const RunPtr run = flight.mapped().run;
    run->links.erase(link);
    run->avoided.insert(member);
    const bool sent = flight.mapped().next.empty();
    if (!run->ended && run->links.empty()) {
      this->OnLastLinkLost(now, run, sent);
    }
  }
  this->CheckRecallDone(now);
  this->ServeWaiting(now);
}

/** Unpins a lost connection, whose transaction the member rolls back. If no
 * request was in flight, the gateway is told, so that the next statement of
 * the session fails. */
void GroupTraffic::UnpinLost(LinkId link, bool in_flight) {
  const auto found =
      std::find_if(this->pinned.begin(), this->pinned.end(),
                   [link](const auto& item) { return item.second == link; });
  if (found == this->pinned.end()) return;
  const ClientId client = found->first;
  this->pinned.erase(found);
  if (!in_flight) this->traffic_hooks.transaction_lost(client);
}

/** Fails or retries a statement after its last connection was lost. */
void GroupTraffic::OnLastLinkLost(steady_clock::time_point now,
                                  const RunPtr& run, bool sent) {
  if (run->commits && sent) {
    this->Fail(now, run, StatementError::kUnknown,
               "the connection broke before the answer");
  } else if (run->in_transaction) {
    this->Fail(now, run, StatementError::kAborted,
               "the connection of the transaction broke");
  } else {
    this->Retry(now, run, StatementError::kBusy, "no member answered");
  }
}

void GroupTraffic::OnReply(steady_clock::time_point now, LinkId link,
                           const MemberReply& reply) {
  const auto found = this->flights.find(link);
  if (found == this->flights.end() || found->second.expected.empty()) {
    this->CloseLink(now, link);
    return;
  }
  Flight& flight = found->second;
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
    // The execution after a failed PREPARE fails as well, with the reason of
    // both. If a setting failed, the statement was not sent.
    if (request.kind == MemberRequestKind::kPrepare) {
      flight.unprepared = reply;
    } else {
      this->OnSetupFailed(now, link, flight.run, reply);
    }
    return;
  }
  // What follows must not run outside the transaction.
  const bool rolled_back =
      flight.run->in_transaction && reply.state != TransactionState::kOpen;
  if (rolled_back) {
    this->OnSetupFailed(now, link, flight.run, reply);
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
    this->ServeWaiting(now);
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
  this->ServeWaiting(now);
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

/** The reason why a statement was refused. One that could not be prepared can't
 * have run, whatever was said of its execution. */
MemberReply GroupTraffic::ReasonOf(const Flight& flight,
                                   const MemberReply& reply) {
  if (!flight.unprepared) return reply;
  const StatementError error = *flight.unprepared->error;
  const bool nothing_ran = error == StatementError::kBusy ||
                           error == StatementError::kReadOnly ||
                           IsHopeless(error);
  MemberReply reason = reply;
  reason.error = nothing_ran ? error : StatementError::kUnknownPrepared;
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
  // The member lacks a statement that was prepared on this connection, so the
  // connection's state is not what LinkState says.
  const bool link_state_unknown = error == StatementError::kUnknownPrepared;
  this->ReleaseOrCloseLink(
      now, link, !link_state_unknown && reply.state == TransactionState::kIdle);
  const bool not_run = error == StatementError::kBusy ||
                       error == StatementError::kLagging ||
                       error == StatementError::kReadOnly || link_state_unknown;
  if (IsHopeless(error) || (!not_run && !run->IsRepeatable())) {
    this->Fail(now, run, error, reply.error_text);
    return;
  }
  run->avoided.insert(pool.Info().id);
  this->Retry(now, run, link_state_unknown ? StatementError::kBusy : error,
              reply.error_text);
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
  this->Fail(now, run, unprepared ? StatementError::kAborted : *reply.error,
             reply.error_text);
}

/** Releases a connection that is outside a transaction and in a known state;
 * closes any other. */
void GroupTraffic::ReleaseOrCloseLink(steady_clock::time_point now, LinkId link,
                                      bool clean) {
  if (clean) {
    this->ReleaseLink(link);
  } else {
    this->CloseLink(now, link);
  }
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

void GroupTraffic::ReleaseLink(LinkId link) {
  MemberPool* pool = this->PoolOf(link);
  pool->Find(link)->phase = LinkPhase::kIdle;
}

/** Closes a connection and handles it as lost. */
void GroupTraffic::CloseLink(steady_clock::time_point now, LinkId link) {
  this->hooks.close_link(link);
  this->OnLinkLost(now, link);
}

void GroupTraffic::EndTransaction(steady_clock::time_point now,
                                  ClientId client) {
  const auto found = this->pinned.find(client);
  if (found == this->pinned.end()) return;
  const LinkId link = found->second;
  if (this->flights.count(link) > 0) {
    this->CloseLink(now, link);
    return;
  }
  this->pinned.erase(found);
  MemberRequest request;
  request.kind = MemberRequestKind::kRollback;
  Flight flight;
  flight.sent = now;
  flight.expected.push_back(request);
  this->PoolOf(link)->Find(link)->phase = LinkPhase::kBusy;
  this->flights[link] = std::move(flight);
  this->hooks.send(link, {request});
}

void GroupTraffic::CancelClient(steady_clock::time_point now, ClientId client) {
  this->waiting.erase(std::remove_if(this->waiting.begin(), this->waiting.end(),
                                     [client](const RunPtr& run) {
                                       return run->client == client;
                                     }),
                      this->waiting.end());
  for (auto& item : this->flights) {
    const RunPtr& run = item.second.run;
    if (run == nullptr || run->client != client) continue;
    run->ended = true;
    // If this is a BEGIN, OnResult closes the connection, so the transaction
    // does not outlive its client.
  }
  this->EndTransaction(now, client);
}

}  // namespace lacewingferry
