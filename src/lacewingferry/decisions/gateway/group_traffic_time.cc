#include <algorithm>
#include <iterator>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"
#include "lacewingferry/decisions/gateway/waiting_order.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Whether a statement in flight may also be sent to a second member. */
bool MayHedge(const RunPtr& run) {
  if (run == nullptr || run->ended || run->hedged) return false;
  const bool begins = run->statement.kind == StatementKind::kBegin ||
                      run->statement.kind == StatementKind::kBeginReadOnly;
  return run->IsRepeatable() && !begins;
}

}  // namespace

void GroupTraffic::ServeFreed(steady_clock::time_point now) {
  if (this->serving_waiting) return;
  while (std::exchange(this->link_freed, false)) this->ServeWaiting(now);
}

/** Tries to send each waiting statement; keeps the others in order. */
void GroupTraffic::ServeWaiting(steady_clock::time_point now) {
  if (this->serving_waiting) return;
  this->serving_waiting = true;
  std::vector<RunPtr> remaining;
  std::vector<RunPtr> previously_waiting;
  previously_waiting.swap(this->waiting);
  for (const RunPtr& run : previously_waiting) {
    if (run->ended || this->TryDispatch(now, run)) continue;
    remaining.push_back(run);
  }
  // Statements that were submitted meanwhile are merged in.
  for (const RunPtr& run : this->waiting) remaining.push_back(run);
  SortFairly(&remaining);
  this->waiting = std::move(remaining);
  this->serving_waiting = false;
}

/** Whether the statement waits for a state that should end by itself: no
 * primary during a failover, no lease yet, or no open connection after a
 * start. */
bool GroupTraffic::WaitsForTransition(steady_clock::time_point now,
                                      const RunPtr& run) const {
  if (run->in_transaction) return false;
  const bool any_member = run->least_position.has_value();
  if (!any_member && !this->HasLease(now)) return !this->LeaseExpired(now);
  const auto usable = [&](const auto& item) {
    const MemberPool& pool = *item.second;
    const bool serves = any_member ? !pool.Info().leaving
                                   : item.first == this->view.term.primary;
    return serves && pool.OpeningCount() < pool.Links().size();
  };
  return std::none_of(this->pools.begin(), this->pools.end(), usable);
}

/** When a waiting statement is refused: after its latency objective, or just
 * before its deadline if it waits for a transition or belongs to a
 * transaction. */
steady_clock::time_point GroupTraffic::WaitDeadline(
    steady_clock::time_point now, const RunPtr& run) const {
  const auto latest = run->deadline - this->settings.refusal_margin;
  if (run->in_transaction || this->WaitsForTransition(now, run)) return latest;
  return std::min(latest, run->arrived + run->latency_objective);
}

void GroupTraffic::ExpireWaiting(steady_clock::time_point now) {
  std::vector<RunPtr> expired;
  for (const RunPtr& run : this->waiting) {
    if (now >= this->WaitDeadline(now, run)) expired.push_back(run);
  }
  for (const RunPtr& run : expired) {
    const auto place =
        std::find(this->waiting.begin(), this->waiting.end(), run);
    // Failing a statement may have let this one be sent meanwhile.
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
  std::vector<LinkId> timed_out;
  std::vector<RunPtr> slow;
  for (const auto& [link, flight] : this->flights) {
    const RunPtr& run = flight.run;
    // Without a statement this is a roll-back that the proxy sent itself.
    const auto limit = run == nullptr
                           ? flight.sent + this->settings.connect_timeout
                           : run->deadline;
    if (now >= limit) {
      timed_out.push_back(link);
    } else if (MayHedge(run) && now >= run->hedge_at) {
      slow.push_back(run);
    }
  }
  for (const RunPtr& run : slow) this->SendHedge(now, run);
  for (const LinkId link : timed_out) this->FailTimedOut(now, link);
}

/** Also sends a read whose answer is slow to a second member. */
void GroupTraffic::SendHedge(steady_clock::time_point now, const RunPtr& run) {
  for (const LinkId link : run->links) {
    run->avoided.insert(this->member_of_link.at(link));
  }
  run->hedged = this->TryDispatch(now, run);
  run->hedge_at = now + this->settings.busy_retry_delay;
}

/** Fails a statement that was not answered in time and closes its
 * connection. */
void GroupTraffic::FailTimedOut(steady_clock::time_point now, LinkId link) {
  const auto found = this->flights.find(link);
  if (found == this->flights.end()) return;
  const RunPtr run = found->second.run;
  if (run != nullptr && !run->ended) {
    run->links.erase(link);
    this->pinned.erase(run->client);
    this->Fail(now, run, StatementError::kTimeout,
               "the member didn't answer in time");
  }
  // Its client's next statement may have closed it meanwhile.
  if (this->HasLink(link)) this->CloseLink(now, link);
}

/** Closes slow connection attempts and excess connections, opens needed ones,
 * and removes the empty pools of members that left. */
void GroupTraffic::CheckConnections(steady_clock::time_point now) {
  std::vector<LinkId> timed_out;
  for (const auto& item : this->pools) {
    for (const auto& [id, link] : item.second->Links()) {
      const bool opening = link.phase == LinkPhase::kOpening;
      if (opening && now - link.since > this->settings.connect_timeout) {
        timed_out.push_back(id);
      }
    }
  }
  for (const LinkId link : timed_out) this->CloseLink(now, link);
  this->CloseExcessLinks(now);
  this->WarmUpRequired(now);
  this->WarmUpNext(now);
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
  this->CheckConnections(now);
  this->CheckRecallDone(now);
  this->ServeWaiting(now);
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
      consider(flight.sent + this->settings.connect_timeout);
      continue;
    }
    consider(flight.run->deadline);
    if (MayHedge(flight.run)) consider(flight.run->hedge_at);
  }
  for (const RunPtr& run : this->waiting) {
    consider(this->WaitDeadline(now, run));
  }
  for (const auto& item : this->pools) {
    const MemberPool& pool = *item.second;
    if (!this->waiting.empty() && pool.NextAvailable() > now) {
      consider(pool.NextAvailable());
    }
    if (pool.OpeningCount() > 0) consider(now + this->settings.connect_timeout);
  }
  const auto recall_limit = this->lease.RecallDeadline();
  if (recall_limit) consider(*recall_limit);
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
      static_cast<double>(this->member_of_link.size()));
  add("ferry_open_transactions", static_cast<double>(this->pinned.size()));
  add("ferry_term", static_cast<double>(this->view.term.term));
  add("ferry_lease_seconds_left",
      this->HasLease(now) ? seconds(this->lease.Until() - now) : 0);
  const auto requested = this->history.NewestRequestTime();
  if (requested) add("ferry_position_age_seconds", seconds(now - *requested));
}

}  // namespace lacewingferry
