#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

/** A statement is sent to members this often at most. */
constexpr int kMostAttempts = 4;

}  // namespace

MemberRequest GroupTraffic::RequestFor(const RunPtr& run) const {
  MemberRequest request;
  request.id = run->statement.id;
  request.text = run->statement.text;
  if (!run->in_transaction) request.least_position = run->least_position;
  if (run->statement.kind == StatementKind::kExecute) {
    request.kind = MemberRequestKind::kExecute;
    request.name = run->session->FindPrepared(run->statement)->SharedName();
    request.argument = run->statement.argument;
  }
  return request;
}

void GroupTraffic::Send(steady_clock::time_point now, MemberPool& pool,
                        LinkId link, const RunPtr& run) {
  Link& used = *pool.Find(link);
  used.phase = LinkPhase::kBusy;
  ++run->attempts;
  run->hedge_at = now + this->settings.hedge_delay;
  run->links.insert(link);
  Flight flight;
  flight.run = run;
  flight.sent = now;
  flight.leased = this->Leased(now);
  flight.term = this->lease.Term();
  const PreparedStatement* prepared =
      run->statement.kind == StatementKind::kExecute
          ? run->session->FindPrepared(run->statement)
          : nullptr;
  flight.next = used.state.SetupFor(*run->session, prepared);
  flight.next.push_back(this->RequestFor(run));
  Flight& stored = this->flights[link] = std::move(flight);
  this->SendNext(link, stored);
}

/** Sends the set-up of values alone, and the rest in one flight. A statement
 * must not run under other values than its session's, so it follows once the
 * member has confirmed them. A statement that isn't prepared doesn't run at
 * all, so its preparing need not be waited for. */
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
  if (run->commits && !this->Leased(now)) {
    // Its acknowledgement could not be kept, so it isn't even asked for.
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
      this->Leased(opened->since)) {
    this->history.Add(opened->since, *position);
  }
  opened->phase = LinkPhase::kIdle;
  pool->OnOpened();
  this->Pump(now);
}

void GroupTraffic::OnLinkLost(steady_clock::time_point now, LinkId link) {
  MemberPool* pool = this->PoolOf(link);
  const bool opening = pool->Find(link)->phase == LinkPhase::kOpening;
  pool->OnLost(now, opening);
  const MemberId member = pool->Info().id;
  pool->Remove(link);
  this->link_members.erase(link);
  auto flight = this->flights.extract(link);
  this->UnpinLost(link, !flight.empty());
  if (!flight.empty() && flight.mapped().run != nullptr) {
    const RunPtr run = flight.mapped().run;
    run->links.erase(link);
    run->avoided.insert(member);
    if (!run->ended && run->links.empty()) this->OnAnswerLost(now, run);
  }
  this->CheckRecall(now);
  this->Pump(now);
}

/** The transaction of a lost connection is rolled back; where it rested, its
 * session is told with the next statement. */
void GroupTraffic::UnpinLost(LinkId link, bool under_way) {
  const auto found =
      std::find_if(this->pinned.begin(), this->pinned.end(),
                   [link](const auto& item) { return item.second == link; });
  if (found == this->pinned.end()) return;
  const ClientId client = found->first;
  this->pinned.erase(found);
  if (!under_way) this->own_hooks.transaction_lost(client);
}

/** Says what is true of a statement whose last connection broke. */
void GroupTraffic::OnAnswerLost(steady_clock::time_point now,
                                const RunPtr& run) {
  if (run->commits) {
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
    this->Drop(now, link);
    return;
  }
  Flight& flight = found->second;
  const MemberRequest request = std::move(flight.expected.front());
  flight.expected.pop_front();
  Link* used = this->PoolOf(link)->Find(link);
  if (!reply.error) used->state.OnDone(request);
  const bool last = flight.expected.empty() && flight.next.empty();
  if (last) {
    Flight ended = std::move(found->second);
    this->flights.erase(found);
    this->OnResult(now, link, std::move(ended), reply);
    return;
  }
  if (reply.error) {
    // The set-up failed, so the statement can't have run for its session.
    const RunPtr run = flight.run;
    const bool prepared = request.kind == MemberRequestKind::kPrepare;
    if (prepared) return;
    this->Drop(now, link);
    return;
  }
  if (flight.expected.empty()) this->SendNext(link, flight);
}

void GroupTraffic::OnResult(steady_clock::time_point now, LinkId link,
                            Flight flight, const MemberReply& reply) {
  const RunPtr run = flight.run;
  if (run == nullptr || run->ended) {
    // A roll-back of our own, or the answer to a copy that wasn't needed.
    if (run != nullptr) run->links.erase(link);
    this->FreeOrDrop(now, link, reply.state == TransactionState::kIdle);
    this->Pump(now);
    return;
  }
  run->links.erase(link);
  MemberPool& pool = *this->PoolOf(link);
  run->served_by = pool.Info().id;
  if (reply.error) {
    this->OnRefusal(now, pool, link, flight, reply);
  } else {
    this->OnSuccess(now, pool, link, flight, reply);
  }
  this->CheckRecall(now);
  this->Pump(now);
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
    this->Free(link);
  }
  if (run->commits && !this->Acknowledge(now, flight, reply)) {
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

/** Whether a commit may be acknowledged now; notes how far that reaches. */
bool GroupTraffic::Acknowledge(steady_clock::time_point now,
                               const Flight& flight, const MemberReply& reply) {
  if (!flight.leased || !this->lease.Covers(now, flight.term)) return false;
  if (reply.position) {
    this->acknowledged = std::max(this->acknowledged, *reply.position);
  }
  return true;
}

void GroupTraffic::OnRefusal(steady_clock::time_point now, MemberPool& pool,
                             LinkId link, const Flight& flight,
                             const MemberReply& reply) {
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
  // A connection that lacks what it was told isn't what it is taken for.
  const bool in_doubt = error == StatementError::kUnknownPrepared;
  this->FreeOrDrop(now, link,
                   !in_doubt && reply.state == TransactionState::kIdle);
  const bool never_ran = error == StatementError::kBusy ||
                         error == StatementError::kLagging ||
                         error == StatementError::kReadOnly || in_doubt;
  if (!never_ran && !run->Repeatable()) {
    this->Fail(now, run, error, reply.error_text);
    return;
  }
  run->avoided.insert(pool.Info().id);
  this->Retry(now, run, in_doubt ? StatementError::kBusy : error,
              reply.error_text);
}

/** A busy member ran nothing, so its transaction goes on; any other refusal
 * ends it. */
void GroupTraffic::OnRefusalInTransaction(steady_clock::time_point now,
                                          MemberPool& pool, LinkId link,
                                          const RunPtr& run,
                                          const MemberReply& reply) {
  const bool goes_on = reply.error == StatementError::kBusy &&
                       reply.state == TransactionState::kOpen &&
                       now < run->deadline;
  if (goes_on) {
    pool.Find(link)->phase = LinkPhase::kPinned;
    this->Submit(now, run);
    return;
  }
  this->pinned.erase(run->client);
  this->FreeOrDrop(now, link, reply.state == TransactionState::kIdle);
  this->Fail(now, run, *reply.error, reply.error_text);
}

/** A connection that isn't clean is closed rather than used again. */
void GroupTraffic::FreeOrDrop(steady_clock::time_point now, LinkId link,
                              bool clean) {
  if (clean) {
    this->Free(link);
  } else {
    this->Drop(now, link);
  }
}

void GroupTraffic::Retry(steady_clock::time_point now, const RunPtr& run,
                         StatementError error, const std::string& text) {
  if (run->attempts >= kMostAttempts || now >= run->deadline) {
    this->Fail(now, run, error, text);
    return;
  }
  this->Submit(now, run);
}

void GroupTraffic::Fail(steady_clock::time_point now, const RunPtr& run,
                        StatementError error, std::string text) {
  ClientReply reply = FailureReply(error, std::move(text));
  const bool ends = run->statement.kind == StatementKind::kCommit;
  reply.state = run->in_transaction && !ends ? TransactionState::kFailed
                                             : TransactionState::kIdle;
  this->Finish(now, run, std::move(reply));
}

void GroupTraffic::Finish(steady_clock::time_point now, const RunPtr& run,
                          ClientReply reply) {
  run->ended = true;
  this->own_hooks.ended(now, run, std::move(reply));
}

void GroupTraffic::Free(LinkId link) {
  MemberPool* pool = this->PoolOf(link);
  pool->Find(link)->phase = LinkPhase::kIdle;
}

/** Closes a connection whose state is in doubt. */
void GroupTraffic::Drop(steady_clock::time_point now, LinkId link) {
  this->hooks.close_link(link);
  this->OnLinkLost(now, link);
}

void GroupTraffic::EndTransaction(steady_clock::time_point now,
                                  ClientId client) {
  const auto found = this->pinned.find(client);
  if (found == this->pinned.end()) return;
  const LinkId link = found->second;
  if (this->flights.count(link) > 0) {
    this->Drop(now, link);
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

void GroupTraffic::Abandon(steady_clock::time_point now, ClientId client) {
  this->waiting.erase(std::remove_if(this->waiting.begin(), this->waiting.end(),
                                     [client](const RunPtr& run) {
                                       return run->client == client;
                                     }),
                      this->waiting.end());
  for (auto& item : this->flights) {
    const RunPtr& run = item.second.run;
    if (run == nullptr || run->client != client) continue;
    run->ended = true;
    // The transaction that a BEGIN opens must not outlive its client; a
    // connection that answers in a transaction is closed.
  }
  this->EndTransaction(now, client);
}

}  // namespace lacewingferry
