#include <algorithm>
#include <iterator>
#include <utility>

#include "lacewingferry/decisions/gateway/group_traffic.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Whether a statement under way may be sent to a second member. */
bool MayAskTwice(const RunPtr& run) {
  if (run == nullptr || run->ended || run->hedged) return false;
  const bool begins = run->statement.kind == StatementKind::kBegin ||
                      run->statement.kind == StatementKind::kBeginReadOnly;
  return run->Repeatable() && !begins;
}

}  // namespace

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
    // Without a statement it is a roll-back of our own.
    const auto limit = run == nullptr
                           ? flight.sent + this->settings.connect_limit
                           : run->deadline;
    if (now >= limit) {
      late.push_back(link);
    } else if (MayAskTwice(run) && now >= run->hedge_at) {
      slow.push_back(run);
    }
  }
  for (const RunPtr& run : slow) this->AskElsewhere(now, run);
  for (const LinkId link : late) this->GiveUp(now, link);
}

/** Sends a read whose answer is slow to another member as well. */
void GroupTraffic::AskElsewhere(steady_clock::time_point now,
                                const RunPtr& run) {
  for (const LinkId link : run->links) {
    run->avoided.insert(this->link_members.at(link));
  }
  run->hedged = this->Place(now, run);
  run->hedge_at = now + this->settings.busy_pause;
}

/** Closes a connection on which no answer came in time. */
void GroupTraffic::GiveUp(steady_clock::time_point now, LinkId link) {
  const auto found = this->flights.find(link);
  if (found == this->flights.end()) return;
  const RunPtr run = found->second.run;
  if (run != nullptr && !run->ended) {
    run->links.erase(link);
    this->pinned.erase(run->client);
    this->Fail(now, run, StatementError::kTimeout,
               "the member didn't answer in time");
  }
  this->Drop(now, link);
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
  this->CloseSurplus(now);
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
    if (MayAskTwice(flight.run)) consider(flight.run->hedge_at);
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
  const auto recall_limit = this->lease.RecallLimit();
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
      static_cast<double>(this->link_members.size()));
  add("ferry_open_transactions", static_cast<double>(this->pinned.size()));
  add("ferry_term", static_cast<double>(this->view.term.term));
  add("ferry_lease_seconds_left",
      this->Leased(now) ? seconds(this->lease.Until() - now) : 0);
  const auto asked = this->history.NewestAsked();
  if (asked) add("ferry_position_age_seconds", seconds(now - *asked));
}

}  // namespace lacewingferry
