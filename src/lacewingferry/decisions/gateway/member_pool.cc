#include "lacewingferry/decisions/gateway/member_pool.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Of a new measurement this part enters the average, as a divisor. */
constexpr int kAverageDivisor = 5;
/** A leaving primary takes new work for this long at most; it may be gone
 * some seconds after it said that it leaves. */
constexpr milliseconds kLongestLinger{4000};

}  // namespace

MemberPool::MemberPool(MemberInfo member_info, milliseconds first_estimate,
                       const GatewaySettings& gateway_settings)
    : info(std::move(member_info)),
      settings(gateway_settings),
      estimate(first_estimate) {}

void MemberPool::SetInfo(steady_clock::time_point now, const MemberInfo& next) {
  if (!next.leaving) {
    this->leaving_since.reset();
  } else if (!this->leaving_since) {
    this->leaving_since = now;
  }
  this->info = next;
}

bool MemberPool::MayLinger(steady_clock::time_point now) const {
  return !this->leaving_since || now - *this->leaving_since < kLongestLinger;
}

std::vector<LinkId> MemberPool::Surplus(bool owner) const {
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

std::optional<LinkId> MemberPool::FindIdle(const SessionState& session) const {
  std::optional<LinkId> found;
  for (const auto& [id, link] : this->links) {
    if (link.phase != LinkPhase::kIdle) continue;
    if (link.state.Matches(session)) return id;
    // Without values to forget, a connection only has to be told some.
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
         this->Opening() == 0;
}

bool MemberPool::MayHave(steady_clock::time_point now,
                         const LogPosition& position) const {
  if (position <= this->seen) return true;
  return now >= this->lacked_until || position < this->lacked;
}

microseconds MemberPool::Expected() const {
  const auto busy = static_cast<int>(this->Count(LinkPhase::kBusy));
  return this->estimate * (busy + 1);
}

double MemberPool::Rate() const {
  const std::chrono::duration<double> each = this->estimate;
  const auto open = static_cast<double>(this->links.size()) - this->Opening();
  return each.count() > 0 ? open / each.count() : 0;
}

Link& MemberPool::Add(steady_clock::time_point now, LinkId link) {
  Link& added = this->links[link];
  added.since = now;
  return added;
}

Link* MemberPool::Find(LinkId link) {
  const auto found = this->links.find(link);
  return found == this->links.end() ? nullptr : &found->second;
}

void MemberPool::OnAnswer(microseconds took,
                          const std::optional<LogPosition>& position) {
  this->estimate += (took - this->estimate) / kAverageDivisor;
  if (position) this->seen = std::max(this->seen, *position);
}

void MemberPool::OnBusy(steady_clock::time_point now) {
  this->rest_until = now + this->settings.busy_pause;
}

void MemberPool::OnLagging(steady_clock::time_point now,
                           const LogPosition& position) {
  this->lacked = position;
  this->lacked_until = now + this->settings.lagging_pause;
}

void MemberPool::OnOpened() { this->reconnect_pause = milliseconds(0); }

void MemberPool::OnLost(steady_clock::time_point now, bool while_opening) {
  // What a run of the member had shown may be gone with it.
  this->seen = LogPosition();
  if (!while_opening) return;
  const milliseconds doubled = this->reconnect_pause * 2;
  this->reconnect_pause = std::clamp(doubled, this->settings.reconnect_pause,
                                     this->settings.longest_reconnect_pause);
  this->next_open = now + this->reconnect_pause;
}

}  // namespace lacewingferry
