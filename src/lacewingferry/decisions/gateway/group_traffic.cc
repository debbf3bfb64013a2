#include "lacewingferry/decisions/gateway/group_traffic.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** What a request to a member is expected to take before one was measured, by
 * the distance of the member. */
constexpr milliseconds kFirstEstimates[] = {milliseconds(20), milliseconds(30),
                                            milliseconds(70)};
/** What a farther member must be faster by, since bytes between availability
 * zones cost. */
constexpr milliseconds kDistancePenalties[] = {milliseconds(0), milliseconds(4),
                                               milliseconds(25)};
/** A read rather waits for a member than goes to one that is expected to take
 * this many times as long. */
constexpr int kWorthWaitingFor = 3;
/** The primary keeps room for what only it can serve: for other reads it
 * counts as this much slower, in percent. */
constexpr int kPrimaryReserve = 150;
/** A statement is sent to members this often at most. */
constexpr int kMostAttempts = 4;

bool ServedBefore(const RunPtr& a, const RunPtr& b) {
  return std::tie(a->priority, a->deadline) <
         std::tie(b->priority, b->deadline);
}

bool IsBegin(const RunPtr& run) {
  return run->statement.kind == StatementKind::kBegin ||
         run->statement.kind == StatementKind::kBeginReadOnly;
}

}  // namespace

GroupTraffic::GroupTraffic(DatabaseId group, const GatewayHooks& gateway_hooks,
                           const GatewaySettings& gateway_settings,
                           GroupTrafficHooks traffic_hooks)
    : database(std::move(group)),
      hooks(gateway_hooks),
      settings(gateway_settings),
      own_hooks(std::move(traffic_hooks)) {}

int GroupTraffic::DistanceOf(const MemberInfo& member) const {
  if (member.zone == this->settings.zone) return 0;
  const auto mine = this->settings.regions.find(this->settings.zone);
  const auto theirs = this->settings.regions.find(member.zone);
  const bool same = mine != this->settings.regions.end() &&
                    theirs != this->settings.regions.end() &&
                    mine->second == theirs->second;
  return same ? 1 : 2;
}

milliseconds GroupTraffic::FirstEstimate(const MemberInfo& member) const {
  return kFirstEstimates[this->DistanceOf(member)];
}

void GroupTraffic::SetView(steady_clock::time_point now,
                           const GroupView& next) {
  this->view = next;
  this->history.SetTermStart(next.term.start);
  std::set<MemberId> present;
  for (const MemberInfo& member : next.members) {
    present.insert(member.id);
    auto& pool = this->pools[member.id];
    if (!pool) {
      pool = std::make_unique<MemberPool>(member, this->FirstEstimate(member),
                                          this->settings);
    }
    pool->SetInfo(now, member);
    pool->SetLimit(next.connections);
  }
  for (auto& [id, pool] : this->pools) {
    if (present.count(id) > 0) continue;
    // What is under way at a member that left still ends there.
    MemberInfo left = pool->Info();
    left.leaving = true;
    pool->SetInfo(now, left);
    pool->SetLimit(0);
  }
  if (!this->first_view) this->first_view = now;
  this->WarmNeeded(now);
  this->Pump(now);
}

/** Connects to the members that statements will need first. After a start all
 * proxies do this at the same time, and each connection costs the member more
 * than a statement; the others wait for WarmOneMore. */
void GroupTraffic::WarmNeeded(steady_clock::time_point now) {
  for (auto& [id, pool] : this->pools) {
    const bool near = this->DistanceOf(pool->Info()) == 0;
    if (near || id == this->view.term.primary) this->KeepOneOpen(now, *pool);
  }
}

/** Connects to one more member at a time, so that any of them can become the
 * primary without a wave of connections. */
void GroupTraffic::WarmOneMore(steady_clock::time_point now) {
  if (!this->first_view || now < this->next_warming) return;
  if (now - *this->first_view < this->settings.warming_delay) return;
  this->next_warming = now + this->settings.warming_pause;
  for (auto& item : this->pools) {
    if (!item.second->Links().empty()) continue;
    this->KeepOneOpen(now, *item.second);
    return;
  }
}

void GroupTraffic::SetLease(std::uint64_t term,
                            steady_clock::time_point until) {
  this->lease_term = term;
  this->lease_until = until;
}

bool GroupTraffic::Leased(steady_clock::time_point now) const {
  return this->view.term.phase == TermPhase::kSteady &&
         this->lease_term == this->view.term.term && this->lease_term != 0 &&
         this->lease_term >= this->lowest_term && now < this->lease_until &&
         !this->recall;
}

bool GroupTraffic::Isolated(steady_clock::time_point now) const {
  const bool had_lease =
      this->lease_term != 0 && this->lease_term == this->view.term.term;
  return had_lease && this->view.term.phase == TermPhase::kSteady &&
         now >= this->lease_until;
}

void GroupTraffic::OnPosition(steady_clock::time_point asked,
                              const LogPosition& position) {
  this->history.Add(asked, position);
}

void GroupTraffic::Recall(steady_clock::time_point now,
                          std::uint64_t before_term, milliseconds patience) {
  if (!this->recall || this->recall->before_term < before_term) {
    this->recall = Recalled{before_term, now + patience};
  }
  this->CheckRecall(now);
}

bool GroupTraffic::AcknowledgmentUnderWay() const {
  return std::any_of(
      this->flights.begin(), this->flights.end(), [](const auto& item) {
        return item.second.run != nullptr && item.second.run->commits;
      });
}

void GroupTraffic::CheckRecall(steady_clock::time_point now) {
  if (!this->recall) return;
  if (this->AcknowledgmentUnderWay() && now < this->recall->limit) return;
  const std::uint64_t before_term = this->recall->before_term;
  this->lowest_term = std::max(this->lowest_term, before_term);
  this->recall.reset();
  this->hooks.recalled(this->database, before_term, this->acknowledged);
}

void GroupTraffic::Submit(steady_clock::time_point now, const RunPtr& run) {
  if (this->Place(now, run)) return;
  const auto place = std::upper_bound(this->waiting.begin(),
                                      this->waiting.end(), run, ServedBefore);
  const auto ahead =
      static_cast<std::size_t>(std::distance(this->waiting.begin(), place));
  const auto passed = now - run->arrived;
  if (!run->in_transaction && !run->least_position && this->Isolated(now)) {
    ClientReply refusal;
    refusal.error = StatementError::kBusy;
    refusal.error_text = "this proxy has lost control";
    refusal.elsewhere = true;
    this->Finish(now, run, std::move(refusal));
    return;
  }
  const bool hopeless =
      !run->in_transaction &&
      passed + this->ExpectedWait(run, ahead) >
          run->latency_objective / this->settings.wait_divisor;
  if (hopeless && !this->InTransition(now, run)) {
    this->Fail(now, run, StatementError::kBusy, "too many wait");
    return;
  }
  this->waiting.insert(place, run);
}

/** How long the statements ahead keep the members' connections busy. */
microseconds GroupTraffic::ExpectedWait(const RunPtr& run,
                                        std::size_t ahead) const {
  // Statements a second, of all members that could serve it.
  double rate = 0;
  for (const auto& [id, pool] : this->pools) {
    const bool serves = run->least_position ? !pool->Info().leaving
                                            : id == this->view.term.primary;
    if (serves) rate += pool->Rate();
  }
  if (rate == 0) return microseconds(0);
  const std::chrono::duration<double> wait(static_cast<double>(ahead) / rate);
  return std::chrono::duration_cast<microseconds>(wait);
}

/** Decides what position a read elsewhere than at the primary has to find;
 * without one, only the primary can serve it. */
bool GroupTraffic::PrepareRead(steady_clock::time_point now,
                               const RunPtr& run) {
  run->least_position.reset();
  if (run->consistency == ReadConsistency::kPrimary || run->writes ||
      run->statement.kind == StatementKind::kBegin) {
    return this->Leased(now);
  }
  const auto least = this->history.LeastFor(run->arrived, run->max_staleness);
  if (!least) return this->Leased(now);
  LogPosition position = *least;
  if (run->consistency == ReadConsistency::kSession) {
    position = std::max(position, run->session_position);
  }
  run->least_position = this->history.InTerm(position);
  return true;
}

std::vector<MemberPool*> GroupTraffic::Candidates(steady_clock::time_point now,
                                                  const RunPtr& run) {
  std::vector<MemberPool*> candidates;
  if (!this->PrepareRead(now, run)) return candidates;
  const bool leased = this->Leased(now);
  for (const auto& [id, pool] : this->pools) {
    const bool primary = id == this->view.term.primary;
    if (pool->Info().leaving && !(primary && leased && pool->MayLinger(now))) {
      continue;
    }
    if (run->least_position) {
      if (run->avoided.count(id) > 0) continue;
      if (!pool->MayHave(now, *run->least_position)) continue;
    } else if (!primary) {
      continue;
    }
    if (!pool->Rested(now)) continue;
    candidates.push_back(pool.get());
  }
  // Where every replica was tried, the primary's own log is the proof.
  if (candidates.empty() && run->least_position && leased) {
    const auto primary = this->pools.find(this->view.term.primary);
    if (primary != this->pools.end() && primary->second->Rested(now)) {
      run->least_position.reset();
      candidates.push_back(primary->second.get());
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&](const MemberPool* a, const MemberPool* b) {
              return this->Cost(*a, run) < this->Cost(*b, run);
            });
  return candidates;
}

microseconds GroupTraffic::Cost(const MemberPool& pool,
                                const RunPtr& run) const {
  microseconds cost = pool.Expected();
  const bool reserve =
      pool.Info().id == this->view.term.primary && run->least_position;
  if (reserve) cost = cost * kPrimaryReserve / 100;
  if (!pool.FindIdle(*run->session)) cost += pool.Expected();
  return cost + kDistancePenalties[this->DistanceOf(pool.Info())];
}

bool GroupTraffic::Place(steady_clock::time_point now, const RunPtr& run) {
  if (run->in_transaction) {
    const auto link = this->pinned.find(run->client);
    if (link == this->pinned.end()) return false;
    if (!this->PoolOf(link->second)->Rested(now)) return false;
    this->SendPinned(now, run);
    return true;
  }
  const std::vector<MemberPool*> candidates = this->Candidates(now, run);
  if (candidates.empty()) return false;
  const microseconds best = this->Cost(*candidates.front(), run);
  for (MemberPool* pool : candidates) {
    if (this->Cost(*pool, run) > best * kWorthWaitingFor) break;
    const auto idle = pool->FindIdle(*run->session);
    if (idle) {
      this->Send(now, *pool, *idle, run);
      return true;
    }
    if (pool->MayOpen(now)) this->OpenLink(now, *pool);
  }
  return false;
}

void GroupTraffic::KeepOneOpen(steady_clock::time_point now, MemberPool& pool) {
  if (pool.Links().empty() && pool.MayOpen(now) && !pool.Info().leaving) {
    this->OpenLink(now, pool);
  }
}

void GroupTraffic::OpenLink(steady_clock::time_point now, MemberPool& pool) {
  const LinkId link = this->own_hooks.next_link();
  pool.Add(now, link);
  this->link_members[link] = pool.Info().id;
  this->hooks.open_link(
      link, LinkTarget{this->database, pool.Info().id, pool.Info().endpoint});
}

MemberPool* GroupTraffic::PoolOf(LinkId link) {
  return this->pools.at(this->link_members.at(link)).get();
}

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
  run->links.insert(link);
  Flight flight;
  flight.run = run;
  flight.sent = now;
  flight.leased = this->Leased(now);
  flight.term = this->lease_term;
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
  for (auto it = this->pinned.begin(); it != this->pinned.end(); ++it) {
    if (it->second != link) continue;
    const ClientId client = it->first;
    this->pinned.erase(it);
    if (this->flights.count(link) == 0) {
      this->own_hooks.transaction_lost(now, client);
    }
    break;
  }
  auto flight = this->flights.extract(link);
  if (!flight.empty() && flight.mapped().run != nullptr) {
    const RunPtr run = flight.mapped().run;
    run->links.erase(link);
    run->avoided.insert(member);
    if (!run->ended && run->links.empty()) {
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
  }
  this->CheckRecall(now);
  this->Pump(now);
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
    if (reply.state == TransactionState::kIdle) {
      this->Free(link);
    } else {
      this->Drop(now, link);
    }
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
  if (flight.leased && reply.position &&
      pool.Info().id == this->view.term.primary) {
    this->history.Add(flight.sent, *reply.position);
  }
  if (reply.state == TransactionState::kOpen) {
    pool.Find(link)->phase = LinkPhase::kPinned;
    this->pinned[run->client] = link;
  } else {
    this->pinned.erase(run->client);
    this->Free(link);
  }
  if (run->commits) {
    const bool proved = flight.leased && flight.term == this->lease_term &&
                        this->lease_term >= this->lowest_term &&
                        now < this->lease_until;
    if (!proved) {
      this->Fail(now, run, StatementError::kUnknown,
                 "the lease on the term ended before the answer");
      return;
    }
    if (reply.position) {
      this->acknowledged = std::max(this->acknowledged, *reply.position);
    }
  }
  ClientReply answer;
  answer.rows = reply.rows;
  answer.digest = reply.digest;
  answer.state = reply.state;
  answer.position = reply.position;
  this->Finish(now, run, std::move(answer));
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
    if (error == StatementError::kBusy &&
        reply.state == TransactionState::kOpen && now < run->deadline) {
      pool.Find(link)->phase = LinkPhase::kPinned;
      this->Submit(now, run);
      return;
    }
    this->pinned.erase(run->client);
    if (reply.state == TransactionState::kIdle) {
      this->Free(link);
    } else {
      this->Drop(now, link);
    }
    this->Fail(now, run, error, reply.error_text);
    return;
  }
  // A connection that lacks what it was told isn't what it is taken for.
  const bool in_doubt = error == StatementError::kUnknownPrepared;
  if (reply.state == TransactionState::kIdle && !in_doubt) {
    this->Free(link);
  } else {
    this->Drop(now, link);
  }
  const bool never_ran = error == StatementError::kBusy ||
                         error == StatementError::kLagging ||
                         error == StatementError::kReadOnly ||
                         error == StatementError::kUnknownPrepared;
  if (never_ran || run->Repeatable()) {
    run->avoided.insert(pool.Info().id);
    this->Retry(now, run, in_doubt ? StatementError::kBusy : error,
                reply.error_text);
    return;
  }
  this->Fail(now, run, error, reply.error_text);
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
  ClientReply reply;
  reply.error = error;
  reply.error_text = std::move(text);
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

void GroupTraffic::Pump(steady_clock::time_point now) {
  if (this->pumping) return;
  this->pumping = true;
  std::vector<RunPtr> still;
  std::vector<RunPtr> taken;
  taken.swap(this->waiting);
  for (const RunPtr& run : taken) {
    if (run->ended || this->Place(now, run)) continue;
    still.push_back(run);
  }
  // Statements that came meanwhile keep their order among the others.
  for (const RunPtr& run : this->waiting) still.push_back(run);
  std::stable_sort(still.begin(), still.end(), ServedBefore);
  this->waiting = std::move(still);
  this->pumping = false;
}

/** Whether what the statement waits for is on its way: a primary that is being
 * replaced, a lease, or the first connections after a start. */
bool GroupTraffic::InTransition(steady_clock::time_point now,
                                const RunPtr& run) const {
  if (run->in_transaction) return false;
  const bool elsewhere = run->least_position.has_value();
  if (!elsewhere && !this->Leased(now)) return !this->Isolated(now);
  const auto usable = [&](const auto& item) {
    const MemberPool& pool = *item.second;
    const bool serves = elsewhere ? !pool.Info().leaving
                                  : item.first == this->view.term.primary;
    return serves && pool.Opening() < pool.Links().size();
  };
  return std::none_of(this->pools.begin(), this->pools.end(), usable);
}

/** A statement that was let in waits as long as its answer comes in time; for
 * a change that is on its way, as long as it may take at all. */
steady_clock::time_point GroupTraffic::WaitLimit(steady_clock::time_point now,
                                                 const RunPtr& run) const {
  const auto latest = run->deadline - this->settings.refusal_margin;
  if (run->in_transaction || this->InTransition(now, run)) return latest;
  return std::min(latest, run->arrived + run->latency_objective);
}

void GroupTraffic::ExpireWaiting(steady_clock::time_point now) {
  std::vector<RunPtr> expired;
  for (const RunPtr& run : this->waiting) {
    if (now >= this->WaitLimit(now, run)) expired.push_back(run);
  }
  for (const RunPtr& run : expired) {
    const auto place =
        std::find(this->waiting.begin(), this->waiting.end(), run);
    // Failing one may have made room for another.
    if (place == this->waiting.end()) continue;
    this->waiting.erase(place);
    const bool lagging = run->avoided.size() > 1 && run->least_position;
    if (run->in_transaction) this->EndTransaction(now, run->client);
    this->Fail(now, run,
               run->in_transaction ? StatementError::kAborted
               : lagging           ? StatementError::kLagging
                                   : StatementError::kBusy,
               "no member was free in time");
  }
}

void GroupTraffic::ExpireFlights(steady_clock::time_point now) {
  std::vector<LinkId> late;
  std::vector<RunPtr> slow;
  for (const auto& [link, flight] : this->flights) {
    const RunPtr& run = flight.run;
    if (run == nullptr) {
      if (now - flight.sent > this->settings.connect_limit) {
        late.push_back(link);
      }
      continue;
    }
    if (now >= run->deadline) {
      late.push_back(link);
      continue;
    }
    const bool plain_read = run->Repeatable() && !IsBegin(run);
    if (plain_read && !run->hedged && !run->ended &&
        now - flight.sent >= this->settings.least_hedge_delay) {
      slow.push_back(run);
    }
  }
  for (const RunPtr& run : slow) {
    run->hedged = true;
    for (const LinkId link : run->links) {
      run->avoided.insert(this->link_members.at(link));
    }
    this->Place(now, run);
  }
  for (const LinkId link : late) {
    const auto found = this->flights.find(link);
    if (found == this->flights.end()) continue;
    const RunPtr run = found->second.run;
    if (run != nullptr && !run->ended) {
      run->links.erase(link);
      this->pinned.erase(run->client);
      this->Fail(now, run, StatementError::kTimeout,
                 "the member didn't answer in time");
    }
    this->Drop(now, link);
  }
}

void GroupTraffic::CheckOpening(steady_clock::time_point now) {
  std::vector<LinkId> late;
  for (const auto& item : this->pools) {
    for (const auto& [id, link] : item.second->Links()) {
      const bool opening = link.phase == LinkPhase::kOpening;
      if (opening && now - link.since > this->settings.connect_limit) {
        late.push_back(id);
      }
    }
  }
  for (const LinkId link : late) this->Drop(now, link);
  this->WarmNeeded(now);
  this->WarmOneMore(now);
  for (auto it = this->pools.begin(); it != this->pools.end();) {
    MemberPool& pool = *it->second;
    const bool known = std::any_of(
        this->view.members.begin(), this->view.members.end(),
        [&](const MemberInfo& member) { return member.id == it->first; });
    if (known || !pool.Links().empty()) {
      ++it;
    } else {
      it = this->pools.erase(it);
    }
  }
}

void GroupTraffic::OnTick(steady_clock::time_point now) {
  this->ExpireFlights(now);
  this->CheckOpening(now);
  this->CheckRecall(now);
  this->Pump(now);
  this->ExpireWaiting(now);
}

std::optional<steady_clock::time_point> GroupTraffic::NextWakeup(
    steady_clock::time_point now) const {
  std::optional<steady_clock::time_point> next;
  const auto consider = [&next](steady_clock::time_point at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& item : this->flights) {
    const Flight& flight = item.second;
    if (flight.run == nullptr) {
      consider(flight.sent + this->settings.connect_limit);
      continue;
    }
    consider(flight.run->deadline);
    if (flight.run->Repeatable() && !flight.run->hedged) {
      consider(flight.sent + this->settings.least_hedge_delay);
    }
  }
  for (const RunPtr& run : this->waiting) {
    consider(this->WaitLimit(now, run));
  }
  for (const auto& item : this->pools) {
    const MemberPool& pool = *item.second;
    if (!this->waiting.empty() && pool.NextChance() > now) {
      consider(pool.NextChance());
    }
    if (pool.Opening() > 0) consider(now + this->settings.connect_limit);
  }
  if (this->recall) consider(this->recall->limit);
  return next;
}

void GroupTraffic::AddGauges(steady_clock::time_point now,
                             const std::string& name,
                             std::vector<Gauge>* gauges) const {
  const auto add = [&](const char* metric, double value) {
    gauges->push_back({metric, name, value});
  };
  const auto seconds = [](steady_clock::duration length) {
    return std::chrono::duration<double>(length).count();
  };
  add("ferry_statements_waiting", static_cast<double>(this->waiting.size()));
  add("ferry_statements_under_way", static_cast<double>(this->flights.size()));
  add("ferry_member_connections",
      static_cast<double>(this->link_members.size()));
  add("ferry_open_transactions", static_cast<double>(this->pinned.size()));
  add("ferry_term", static_cast<double>(this->view.term.term));
  add("ferry_lease_seconds_left",
      this->Leased(now) ? seconds(this->lease_until - now) : 0);
  const auto asked = this->history.NewestAsked();
  if (asked) add("ferry_position_age_seconds", seconds(now - *asked));
}

}  // namespace lacewingferry
