#include "lacewingferry/decisions/gateway/member_pool.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The weight of a new measurement in the moving average, as a divisor. */
constexpr int kAverageDivisor = 5;
/** A leaving primary is sent new statements for this long at most, since it may
 * stop a few seconds after it announced that it leaves. */
constexpr milliseconds kMaxLeavingPrimaryUse{4000};
/** Connections in customers' names that are opened at a time. More than one,
 * since the statements that wait need different ones. */
constexpr std::uint32_t kMaxOpenings = 2;
/** A customer whose use has decayed to less than this counts as unused. */
constexpr double kForgottenUse = 0.01;

}  // namespace

MemberPool::MemberPool(MemberInfo member_info, milliseconds initial_estimate,
                       const GatewaySettings& gateway_settings)
    : info(std::move(member_info)),
      settings(gateway_settings),
      estimate(initial_estimate) {}

void MemberPool::SetInfo(steady_clock::time_point now, const MemberInfo& next) {
  if (!next.leaving) {
    this->leaving_since.reset();
  } else if (!this->leaving_since) {
    this->leaving_since = now;
  }
  this->info = next;
}

bool MemberPool::AcceptsWorkWhileLeaving(steady_clock::time_point now) const {
  return !this->leaving_since ||
         now - *this->leaving_since < kMaxLeavingPrimaryUse;
}

std::vector<LinkId> MemberPool::ExcessLinks(bool owner) const {
  const std::size_t kept = owner ? this->limit : 0;
  std::size_t left = this->links.size();
  std::vector<LinkId> surplus;
  for (const auto& [id, link] : this->links) {
    if (left <= kept) break;
    if (link.phase != LinkPhase::kIdle) continue;
    surplus.push_back(id);
    --left;
  }
  return surplus;
}

std::optional<LinkId> MemberPool::FindIdle(const SessionState& session,
                                           const CustomerId& customer) const {
  std::optional<LinkId> found;
  for (const auto& [id, link] : this->links) {
    if (link.phase != LinkPhase::kIdle || link.customer != customer) continue;
    if (link.state.Matches(session)) return id;
    // A connection without settings needs no reset.
    if (!found || link.state.values.empty()) found = id;
  }
  return found;
}

std::uint32_t MemberPool::Count(LinkPhase phase) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->links.begin(), this->links.end(),
      [phase](const auto& item) { return item.second.phase == phase; }));
}

bool MemberPool::MayOpen(steady_clock::time_point now) const {
  return this->links.size() < this->limit && now >= this->next_open &&
         this->OpeningCount() == 0;
}

bool MemberPool::MayOpenFor(steady_clock::time_point now) const {
  const bool room = this->links.size() < this->limit ||
                    this->FindReplaceable(now).has_value();
  return this->limit > 0 && room && now >= this->next_open &&
         this->OpeningCount() < kMaxOpenings;
}

std::optional<LinkId> MemberPool::FindReplaceable(
    steady_clock::time_point now) const {
  if (this->links.size() < this->limit) return std::nullopt;
  using Rank = std::pair<double, steady_clock::time_point>;
  std::optional<std::pair<Rank, LinkId>> least_used;
  for (const auto& [id, link] : this->links) {
    const bool reserved =
        !link.used && now - link.last_used < this->settings.hedge_delay;
    if (link.phase != LinkPhase::kIdle || reserved) continue;
    const Rank rank{this->UseOfEachLink(now, link.customer), link.last_used};
    if (!least_used || rank < least_used->first) least_used = {rank, id};
  }
  if (!least_used) return std::nullopt;
  return least_used->second;
}

double MemberPool::UseOfEachLink(steady_clock::time_point now,
                                 const CustomerId& customer) const {
  const auto use = this->use_by_customer.find(customer);
  if (use == this->use_by_customer.end()) return 0;
  const auto count = std::count_if(
      this->links.begin(), this->links.end(),
      [&](const auto& item) { return item.second.customer == customer; });
  return use->second.At(now) /
         static_cast<double>(std::max<std::ptrdiff_t>(count, 1));
}

void MemberPool::OnUsed(steady_clock::time_point now, Link* link) {
  link->last_used = now;
  link->used = true;
  if (link->customer.Empty()) return;
  this->use_by_customer[link->customer].Add(now);
  for (auto it = this->use_by_customer.begin();
       it != this->use_by_customer.end();) {
    const bool unused = it->second.At(now) < kForgottenUse;
    it = unused ? this->use_by_customer.erase(it) : std::next(it);
  }
}

bool MemberPool::OpeningStalls(steady_clock::time_point now) const {
  return std::any_of(this->links.begin(), this->links.end(),
                     [&](const auto& item) {
                       const Link& link = item.second;
                       return link.phase == LinkPhase::kOpening &&
                              now - link.since > this->settings.hedge_delay;
                     });
}

bool MemberPool::MayHavePosition(steady_clock::time_point now,
                                 const LogPosition& position) const {
  if (position <= this->reported) return true;
  return now >= this->missing_position_until ||
         position < this->missing_position;
}

microseconds MemberPool::ExpectedTime() const {
  const auto busy = static_cast<int>(this->Count(LinkPhase::kBusy));
  return this->estimate * (busy + 1);
}

double MemberPool::RequestRate() const {
  const std::chrono::duration<double> each = this->estimate;
  const auto open =
      static_cast<double>(this->links.size()) - this->OpeningCount();
  return each.count() > 0 ? open / each.count() : 0;
}

Link& MemberPool::Add(steady_clock::time_point now, LinkId link) {
  Link& added = this->links[link];
  added.since = now;
  added.last_used = now;
  return added;
}

Link* MemberPool::Find(LinkId link) {
  const auto found = this->links.find(link);
  return found == this->links.end() ? nullptr : &found->second;
}

void MemberPool::OnAnswer(microseconds took,
                          const std::optional<LogPosition>& position) {
  this->estimate += (took - this->estimate) / kAverageDivisor;
  if (position) this->reported = std::max(this->reported, *position);
}

void MemberPool::OnBusy(steady_clock::time_point now) {
  this->unavailable_until = now + this->settings.busy_retry_delay;
}

void MemberPool::OnLagging(steady_clock::time_point now,
                           const LogPosition& position) {
  this->missing_position = position;
  this->missing_position_until = now + this->settings.lagging_retry_delay;
}

void MemberPool::OnOpened() { this->reconnect_delay = milliseconds(0); }

void MemberPool::OnLost(steady_clock::time_point now, bool while_opening) {
  // The member may have restarted without the position that it reported.
  this->reported = LogPosition();
  if (!while_opening) return;
  const milliseconds doubled = this->reconnect_delay * 2;
  this->reconnect_delay = std::clamp(doubled, this->settings.reconnect_delay,
                                     this->settings.max_reconnect_delay);
  this->next_open = now + this->reconnect_delay;
}

}  // namespace lacewingferry
