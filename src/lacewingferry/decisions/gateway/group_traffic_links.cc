#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

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
  this->link_freed = true;
  this->ServeFreed(now);
}

void GroupTraffic::OnLinkLost(steady_clock::time_point now, LinkId link) {
  this->LoseLink(now, link);
  this->ServeFreed(now);
}

/** Forgets a connection and ends or retries its statement. Sends no other
 * statement: that may close further connections, also such as a caller is
 * about to close. */
void GroupTraffic::LoseLink(steady_clock::time_point now, LinkId link) {
  this->link_freed = true;
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

void GroupTraffic::ReleaseLink(LinkId link) {
  MemberPool* pool = this->PoolOf(link);
  pool->Find(link)->phase = LinkPhase::kIdle;
  this->link_freed = true;
}

/** Closes a connection and handles it as lost. */
void GroupTraffic::CloseLink(steady_clock::time_point now, LinkId link) {
  this->hooks.close_link(link);
  this->LoseLink(now, link);
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
  for (const RunPtr& run : this->waiting) {
    if (run->client == client) run->ended = true;
  }
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
