#include "lacewingferry/decisions/gateway/group_traffic.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/gateway/waiting_order.h"

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The assumed response time of a member before the first measurement: in this
 * availability zone, in this region, in another region. */
constexpr milliseconds kInitialEstimates[] = {
    milliseconds(20), milliseconds(30), milliseconds(70)};
/** Added to the cost of a member by its distance, in the same order, since
 * traffic between availability zones is charged. */
constexpr milliseconds kDistancePenalties[] = {milliseconds(0), milliseconds(4),
                                               milliseconds(25)};
/** A statement waits for the cheapest connected member rather than use one that
 * costs more than this many times as much. */
constexpr int kMaxCostRatio = 3;
/** The cost of the primary for reads that replicas can serve, in percent of
 * its actual cost. Keeps capacity for statements that only the primary can
 * serve. */
constexpr int kPrimaryReadCostPercent = 150;

}  // namespace

GroupTraffic::GroupTraffic(DatabaseId group, const GatewayHooks& gateway_hooks,
                           const GatewaySettings& gateway_settings,
                           GroupTrafficHooks group_hooks)
    : database(std::move(group)),
      hooks(gateway_hooks),
      settings(gateway_settings),
      traffic_hooks(std::move(group_hooks)) {}

int GroupTraffic::DistanceOf(const MemberInfo& member) const {
  if (member.zone == this->settings.zone) return 0;
  const auto mine = this->settings.regions.find(this->settings.zone);
  const auto theirs = this->settings.regions.find(member.zone);
  const bool same = mine != this->settings.regions.end() &&
                    theirs != this->settings.regions.end() &&
                    mine->second == theirs->second;
  return same ? 1 : 2;
}

milliseconds GroupTraffic::InitialEstimate(const MemberInfo& member) const {
  return kInitialEstimates[this->DistanceOf(member)];
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
      pool = std::make_unique<MemberPool>(member, this->InitialEstimate(member),
                                          this->settings);
    }
    pool->SetInfo(now, member);
    pool->SetLimit(next.allocation.connections);
  }
  for (auto& [id, pool] : this->pools) {
    if (present.count(id) > 0) continue;
    // Statements in flight at a removed member still finish there.
    MemberInfo left = pool->Info();
    left.leaving = true;
    pool->SetInfo(now, left);
    pool->SetLimit(0);
  }
  if (!this->first_view) this->first_view = now;
  this->CloseExcessLinks(now);
  this->WarmUpRequired(now);
  this->ServeWaiting(now);
}

/** Closes idle connections beyond the limit, so that other proxies can open
 * theirs. */
void GroupTraffic::CloseExcessLinks(steady_clock::time_point now) {
  std::vector<LinkId> surplus;
  for (const auto& item : this->pools) {
    const std::vector<LinkId> links =
        item.second->ExcessLinks(this->view.allocation.owner);
    surplus.insert(surplus.end(), links.begin(), links.end());
  }
  for (const LinkId link : surplus) this->CloseLink(now, link);
}

/** Connects to the primary and to the members in this availability zone, which
 * statements will need first. After a restart of the fleet all proxies do this
 * at the same time, and each connection costs the member more than a
 * statement. Connections to the other members are therefore left to
 * WarmUpNext. */
void GroupTraffic::WarmUpRequired(steady_clock::time_point now) {
  if (!this->view.allocation.owner) return;
  for (auto& [id, pool] : this->pools) {
    const bool near = this->DistanceOf(pool->Info()) == 0;
    if (near || id == this->view.term.primary) this->EnsureLink(now, *pool);
  }
}

/** Connects to one more member at each interval, so that after a failover the
 * proxies do not all connect to the new primary at once. */
void GroupTraffic::WarmUpNext(steady_clock::time_point now) {
  if (!this->view.allocation.owner || !this->first_view) return;
  if (now < this->next_warmup) return;
  if (now - *this->first_view < this->settings.warmup_delay) return;
  this->next_warmup = now + this->settings.warmup_interval;
  for (auto& item : this->pools) {
    if (!item.second->Links().empty()) continue;
    this->EnsureLink(now, *item.second);
    return;
  }
}

void GroupTraffic::SetLease(std::uint64_t term,
                            steady_clock::time_point until) {
  this->lease.Grant(term, until);
}

bool GroupTraffic::HasLease(steady_clock::time_point now) const {
  return this->lease.InForce(now, this->view.term);
}

bool GroupTraffic::LeaseExpired(steady_clock::time_point now) const {
  return this->lease.Expired(now, this->view.term);
}

void GroupTraffic::OnPosition(steady_clock::time_point requested_at,
                              const LogPosition& position) {
  this->history.Add(requested_at, position);
}

void GroupTraffic::Recall(steady_clock::time_point now,
                          std::uint64_t before_term,
                          milliseconds grace_period) {
  this->lease.Recall(now, before_term, grace_period);
  this->CheckRecallDone(now);
}

bool GroupTraffic::CommitInFlight() const {
  return std::any_of(
      this->flights.begin(), this->flights.end(), [](const auto& item) {
        return item.second.run != nullptr && item.second.run->commits;
      });
}

void GroupTraffic::CheckRecallDone(steady_clock::time_point now) {
  const auto recalled_before =
      this->lease.FinishRecall(now, this->CommitInFlight());
  // A proxy that can't say up to where it acknowledged lets its lease expire,
  // so that control doesn't go by its report.
  if (!recalled_before || this->acknowledged_unplaced) return;
  this->hooks.recalled(this->database, *recalled_before, this->acknowledged);
}

void GroupTraffic::Submit(steady_clock::time_point now, const RunPtr& run) {
  if (this->TryDispatch(now, run)) return;
  const std::size_t ahead = CountServedBefore(this->waiting, run);
  const auto passed = now - run->arrived;
  if (!run->in_transaction && !run->least_position && this->LeaseExpired(now)) {
    ClientReply refusal =
        FailureReply(StatementError::kBusy, "this proxy has lost control");
    refusal.elsewhere = true;
    this->Finish(now, run, std::move(refusal));
    return;
  }
  const bool wait_too_long =
      !run->in_transaction &&
      passed + this->ExpectedWait(run, ahead) >
          run->latency_objective / this->settings.max_wait_divisor;
  if (wait_too_long && !this->WaitsForTransition(now, run)) {
    this->Fail(now, run, StatementError::kBusy, "too many wait");
    return;
  }
  const auto place = this->waiting.begin() + static_cast<std::ptrdiff_t>(ahead);
  this->waiting.insert(place, run);
}

/** The expected time until the `ahead` statements before this one have been
 * sent. */
microseconds GroupTraffic::ExpectedWait(const RunPtr& run,
                                        std::size_t ahead) const {
  // Statements per second of all members that could serve this one.
  double rate = 0;
  for (const auto& [id, pool] : this->pools) {
    const bool serves = run->least_position ? !pool->Info().leaving
                                            : id == this->view.term.primary;
    if (serves) rate += pool->RequestRate();
  }
  if (rate == 0) return microseconds(0);
  const std::chrono::duration<double> wait(static_cast<double>(ahead) / rate);
  return std::chrono::duration_cast<microseconds>(wait);
}

/** Sets the position that a replica must have applied to serve the read;
 * without one, only the primary can serve the statement. Returns whether the
 * statement may be sent now. */
bool GroupTraffic::PrepareRead(steady_clock::time_point now,
                               const RunPtr& run) {
  run->least_position.reset();
  if (run->consistency == ReadConsistency::kPrimary || run->writes ||
      run->statement.kind == StatementKind::kBegin) {
    return this->HasLease(now);
  }
  const auto least =
      this->history.LeastPositionFor(run->arrived, run->max_staleness);
  if (!least) return this->HasLease(now);
  LogPosition position = *least;
  if (run->consistency == ReadConsistency::kSession) {
    position = std::max(position, run->session_position);
  }
  run->least_position = this->history.ClampToTerm(position);
  return true;
}

std::vector<MemberPool*> GroupTraffic::Candidates(steady_clock::time_point now,
                                                  const RunPtr& run) {
  std::vector<MemberPool*> candidates;
  if (!this->PrepareRead(now, run)) return candidates;
  const bool leased = this->HasLease(now);
  for (const auto& [id, pool] : this->pools) {
    const bool primary = id == this->view.term.primary;
    if (pool->Info().leaving &&
        !(primary && leased && pool->AcceptsWorkWhileLeaving(now))) {
      continue;
    }
    if (run->least_position) {
      if (run->avoided.count(id) > 0) continue;
      if (!pool->MayHavePosition(now, *run->least_position)) continue;
    } else if (!primary) {
      continue;
    }
    if (!pool->IsAvailable(now)) continue;
    candidates.push_back(pool.get());
  }
  // If no member qualifies, the primary serves the read under the lease without
  // a position.
  if (candidates.empty() && run->least_position && leased) {
    const auto primary = this->pools.find(this->view.term.primary);
    if (primary != this->pools.end() && primary->second->IsAvailable(now)) {
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
  microseconds cost = pool.ExpectedTime();
  const bool reserve =
      pool.Info().id == this->view.term.primary && run->least_position;
  if (reserve) cost = cost * kPrimaryReadCostPercent / 100;
  if (!pool.FindIdle(*run->session, run->customer)) cost += pool.ExpectedTime();
  return cost + kDistancePenalties[this->DistanceOf(pool.Info())];
}

bool GroupTraffic::TryDispatch(steady_clock::time_point now,
                               const RunPtr& run) {
  if (run->in_transaction) {
    const auto link = this->pinned.find(run->client);
    if (link == this->pinned.end()) return false;
    if (!this->PoolOf(link->second)->IsAvailable(now)) return false;
    this->SendPinned(now, run);
    return true;
  }
  if (this->AwaitsLink(now, run)) return false;
  const std::vector<MemberPool*> candidates = this->Candidates(now, run);
  // It is worth waiting for the cheapest member that has a connection, but not
  // for one that cannot be reached.
  const auto best =
      std::find_if(candidates.begin(), candidates.end(),
                   [](const MemberPool* pool) { return pool->Connected(); });
  for (MemberPool* pool : candidates) {
    const bool too_slow =
        best != candidates.end() &&
        this->Cost(*pool, run) > this->Cost(**best, run) * kMaxCostRatio;
    if (too_slow) break;
    const auto idle = pool->FindIdle(*run->session, run->customer);
    if (idle) {
      this->Send(now, *pool, *idle, run);
      return true;
    }
    if (this->view.by_customer) {
      if (this->TryOpenFor(now, *pool, run)) return false;
    } else if (pool->MayOpen(now)) {
      this->OpenLink(now, *pool, CustomerId());
    }
  }
  return false;
}

/** Whether the connection that was opened for a statement is still being
 * opened. One that takes long is no longer waited for. */
bool GroupTraffic::AwaitsLink(steady_clock::time_point now,
                              const RunPtr& run) const {
  const auto member = this->member_of_link.find(run->awaited_link);
  if (member == this->member_of_link.end()) return false;
  const MemberPool& pool = *this->pools.at(member->second);
  const Link& link = pool.Links().at(run->awaited_link);
  return link.phase == LinkPhase::kOpening &&
         now - link.since <= this->settings.hedge_delay;
}

/** Opens a connection for a statement in its customer's name, if need be in
 * place of an idle one of another customer. Each statement waits for one
 * connection at a time, so that a burst opens no more than it can use. */
bool GroupTraffic::TryOpenFor(steady_clock::time_point now, MemberPool& pool,
                              const RunPtr& run) {
  if (!pool.MayOpenFor(now) || pool.OpeningStalls(now)) return false;
  const auto replaced = pool.FindReplaceable(now);
  if (replaced) this->DropIdleLink(*replaced);
  run->awaited_link = this->OpenLink(now, pool, run->customer);
  return true;
}

/** Closes a connection that nothing uses. */
void GroupTraffic::DropIdleLink(LinkId link) {
  this->hooks.close_link(link);
  this->PoolOf(link)->Remove(link);
  this->member_of_link.erase(link);
}

/** Opens the first connection to a member before a statement needs it. In whose
 * name it has to be is known only then, if sessions have customers. */
void GroupTraffic::EnsureLink(steady_clock::time_point now, MemberPool& pool) {
  if (this->view.by_customer) return;
  if (pool.Links().empty() && pool.MayOpen(now) && !pool.Info().leaving) {
    this->OpenLink(now, pool, CustomerId());
  }
}

LinkId GroupTraffic::OpenLink(steady_clock::time_point now, MemberPool& pool,
                              const CustomerId& customer) {
  const LinkId link = this->traffic_hooks.next_link();
  pool.Add(now, link).customer = customer;
  this->member_of_link[link] = pool.Info().id;
  this->hooks.open_link(link, LinkTarget{this->database, pool.Info().id,
                                         pool.Info().endpoint, customer});
  return link;
}

MemberPool* GroupTraffic::PoolOf(LinkId link) {
  const auto member = this->member_of_link.find(link);
  if (member == this->member_of_link.end()) {
    throw InternalError("connection " + std::to_string(link) + " of group " +
                        this->database.Value() +
                        " is used after it was closed");
  }
  return this->pools.at(member->second).get();
}

}  // namespace lacewingferry
