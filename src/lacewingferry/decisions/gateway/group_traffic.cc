#include "lacewingferry/decisions/gateway/group_traffic.h"

#include <algorithm>
#include <iterator>
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
    pool->SetLimit(next.deal.connections);
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
  this->CloseSurplus(now);
  this->WarmNeeded(now);
  this->Pump(now);
}

/** Gives up connections at rest that others may hold now. */
void GroupTraffic::CloseSurplus(steady_clock::time_point now) {
  std::vector<LinkId> surplus;
  for (const auto& item : this->pools) {
    const std::vector<LinkId> links =
        item.second->Surplus(this->view.deal.owner);
    surplus.insert(surplus.end(), links.begin(), links.end());
  }
  for (const LinkId link : surplus) this->Drop(now, link);
}

/** Connects to the members that statements will need first. After a start all
 * proxies do this at the same time, and each connection costs the member more
 * than a statement; the others wait for WarmOneMore. */
void GroupTraffic::WarmNeeded(steady_clock::time_point now) {
  if (!this->view.deal.owner) return;
  for (auto& [id, pool] : this->pools) {
    const bool near = this->DistanceOf(pool->Info()) == 0;
    if (near || id == this->view.term.primary) this->KeepOneOpen(now, *pool);
  }
}

/** Connects to one more member at a time, so that any of them can become the
 * primary without a wave of connections. */
void GroupTraffic::WarmOneMore(steady_clock::time_point now) {
  if (!this->view.deal.owner || !this->first_view) return;
  if (now < this->next_warming) return;
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
  this->lease.Grant(term, until);
}

bool GroupTraffic::Leased(steady_clock::time_point now) const {
  return this->lease.InForce(now, this->view.term);
}

bool GroupTraffic::Isolated(steady_clock::time_point now) const {
  return this->lease.RanOut(now, this->view.term);
}

void GroupTraffic::OnPosition(steady_clock::time_point asked,
                              const LogPosition& position) {
  this->history.Add(asked, position);
}

void GroupTraffic::Recall(steady_clock::time_point now,
                          std::uint64_t before_term, milliseconds patience) {
  this->lease.Recall(now, before_term, patience);
  this->CheckRecall(now);
}

bool GroupTraffic::AcknowledgmentUnderWay() const {
  return std::any_of(
      this->flights.begin(), this->flights.end(), [](const auto& item) {
        return item.second.run != nullptr && item.second.run->commits;
      });
}

void GroupTraffic::CheckRecall(steady_clock::time_point now) {
  const auto given_up =
      this->lease.FinishRecall(now, this->AcknowledgmentUnderWay());
  if (!given_up) return;
  this->hooks.recalled(this->database, *given_up, this->acknowledged);
}

void GroupTraffic::Submit(steady_clock::time_point now, const RunPtr& run) {
  if (this->Place(now, run)) return;
  const auto place = std::upper_bound(this->waiting.begin(),
                                      this->waiting.end(), run, ServedBefore);
  const auto ahead =
      static_cast<std::size_t>(std::distance(this->waiting.begin(), place));
  const auto passed = now - run->arrived;
  if (!run->in_transaction && !run->least_position && this->Isolated(now)) {
    ClientReply refusal =
        FailureReply(StatementError::kBusy, "this proxy has lost control");
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
  // The cheapest member that has a connection is worth waiting for; one that
  // can't be reached is not.
  const auto best =
      std::find_if(candidates.begin(), candidates.end(),
                   [](const MemberPool* pool) { return pool->Connected(); });
  for (MemberPool* pool : candidates) {
    const bool too_slow =
        best != candidates.end() &&
        this->Cost(*pool, run) > this->Cost(**best, run) * kWorthWaitingFor;
    if (too_slow) break;
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

}  // namespace lacewingferry
