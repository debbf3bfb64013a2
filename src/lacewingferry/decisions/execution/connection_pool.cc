#include "lacewingferry/decisions/execution/connection_pool.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The first pause after a member can't be reached. */
constexpr milliseconds kRefusedPause{50};
/** The first pause after a member had no place for another connection. */
constexpr milliseconds kTooManyPause{100};
/** No pause grows beyond this, before it is randomized. */
constexpr milliseconds kLongestPause{3200};
/** Doublings from the first to the longest pause. */
constexpr std::uint32_t kMostDoublings = 6;
/** The time in which a member notices a closed connection; its slot stays
 * empty for as long. */
constexpr milliseconds kNoticeTime{50};
/** A batch or an attempt to connect that takes longer is a sign of trouble. */
constexpr milliseconds kSilenceThreshold{250};

}  // namespace

ConnectionPool::ConnectionPool(PoolHooks pool_hooks, std::uint64_t seed)
    : hooks(std::move(pool_hooks)),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

std::vector<ConnectionId> ConnectionPool::Configure(const MemberInfo& member,
                                                    std::uint32_t most) {
  const bool moved = !(this->info.endpoint == member.endpoint);
  this->info = member;
  this->limit = most;
  std::vector<ConnectionId> closed;
  if (moved) {
    for (const auto& entry : this->entries) closed.push_back(entry.first);
    for (const ConnectionId id : closed) this->Close(id);
    this->failures = 0;
    this->open_at = {};
    this->just_closed = 0;
    this->closing.clear();
  }
  for (auto idle = this->FindIdle(); idle && this->Size() > this->Limit();
       idle = this->FindIdle()) {
    this->Close(*idle);
  }
  return closed;
}

void ConnectionPool::AwaitClosed(steady_clock::time_point now) {
  while (!this->closing.empty() && this->closing.front() <= now) {
    this->closing.pop_front();
  }
  this->closing.insert(this->closing.end(), this->just_closed,
                       now + kNoticeTime);
  this->just_closed = 0;
}

void ConnectionPool::OpenMissing(steady_clock::time_point now) {
  this->AwaitClosed(now);
  if (now < this->open_at) return;
  while (this->Size() + this->closing.size() < this->Limit()) {
    const bool opening = this->FindIn(State::kOpening).has_value();
    if (this->failures > 0 && opening) return;
    const ConnectionId id = this->hooks.next_connection();
    this->entries[id].began = now;
    this->hooks.port.open(id, this->info);
  }
}

std::optional<ConnectionId> ConnectionPool::FindIn(State state) const {
  for (const auto& entry : this->entries) {
    if (entry.second.state == state) return entry.first;
  }
  return std::nullopt;
}

std::optional<ConnectionId> ConnectionPool::FindIdle() const {
  return this->FindIn(State::kIdle);
}

std::optional<ConnectionId> ConnectionPool::FindPinned() const {
  return this->FindIn(State::kPinned);
}

bool ConnectionPool::IsPinned(ConnectionId id) const {
  return this->entries.at(id).state == State::kPinned;
}

void ConnectionPool::Send(steady_clock::time_point now, ConnectionId id,
                          const MemberBatch& batch) {
  this->entries.at(id) = Entry{State::kBusy, now, false};
  this->hooks.port.execute(id, batch);
}

void ConnectionPool::GiveBack(ConnectionId id) {
  if (this->Size() > this->Limit()) {
    this->Close(id);
  } else {
    this->entries.at(id).state = State::kIdle;
  }
}

void ConnectionPool::Close(ConnectionId id) {
  this->entries.erase(id);
  ++this->just_closed;
  this->hooks.port.close(id);
}

void ConnectionPool::Observe(steady_clock::time_point now, MemberSign sign) {
  if (this->hooks.observe) this->hooks.observe(this->info.id, sign, now);
}

void ConnectionPool::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->failures = 0;
  this->GiveBack(id);
  this->Observe(now, MemberSign::kAnswered);
}

milliseconds ConnectionPool::NextPause(ConnectionFailure failure) {
  const milliseconds first = failure == ConnectionFailure::kTooManyConnections
                                 ? kTooManyPause
                                 : kRefusedPause;
  const std::uint32_t doublings = std::min(this->failures, kMostDoublings);
  const milliseconds pause = std::min(first * (1U << doublings), kLongestPause);
  ++this->failures;
  std::uniform_int_distribution<milliseconds::rep> jitter(pause.count() / 2,
                                                          pause.count());
  return milliseconds(jitter(this->random));
}

void ConnectionPool::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  const auto node = this->entries.extract(id);
  if (node.empty()) return;
  const bool opening = node.mapped().state == State::kOpening;
  if (opening) this->open_at = now + this->NextPause(failure);
  this->Observe(now, opening ? MemberSign::kRefused : MemberSign::kLost);
}

void ConnectionPool::OnCompleted(steady_clock::time_point now,
                                 ConnectionId id) {
  this->entries.at(id).reported_silent = false;
  this->Observe(now, MemberSign::kAnswered);
}

bool ConnectionPool::Unserving(steady_clock::time_point now,
                               std::chrono::nanoseconds patience) const {
  if (this->entries.empty()) return this->failures > 0;
  return std::all_of(this->entries.begin(), this->entries.end(),
                     [&](const auto& entry) {
                       const Entry& one = entry.second;
                       if (this->failures > 0 && one.state == State::kOpening)
                         return true;
                       return Outstanding(one) && now - one.began >= patience;
                     });
}

bool ConnectionPool::Outstanding(const Entry& entry) {
  return entry.state == State::kOpening || entry.state == State::kBusy;
}

void ConnectionPool::ObserveSilence(steady_clock::time_point now) {
  for (auto& [id, entry] : this->entries) {
    if (!Outstanding(entry) || entry.reported_silent) continue;
    if (now - entry.began < kSilenceThreshold) continue;
    entry.reported_silent = true;
    this->Observe(now, MemberSign::kSilent);
  }
}

std::optional<steady_clock::time_point> ConnectionPool::NextWakeup() const {
  std::optional<steady_clock::time_point> next;
  const auto consider = [&next](steady_clock::time_point time) {
    if (!next || time < *next) next = time;
  };
  const bool opening = this->FindIn(State::kOpening).has_value();
  if (this->Size() < this->Limit() && (this->failures == 0 || !opening)) {
    const bool full = this->Size() + this->closing.size() >= this->Limit();
    consider(full ? std::max(this->open_at, this->closing.front())
                  : this->open_at);
  }
  for (const auto& [id, entry] : this->entries) {
    if (Outstanding(entry) && !entry.reported_silent) {
      consider(entry.began + kSilenceThreshold);
    }
  }
  return next;
}

}  // namespace lacewingferry
