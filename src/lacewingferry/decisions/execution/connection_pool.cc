#include "lacewingferry/decisions/execution/connection_pool.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The first retry delay after a failed connect. */
constexpr milliseconds kRefusedRetryDelay{50};
/** The first retry delay after the member reported too many connections. */
constexpr milliseconds kTooManyConnectionsRetryDelay{100};
/** The longest retry delay before randomization. */
constexpr milliseconds kMaxRetryDelay{3200};
/** Doublings from the first to the longest delay. */
constexpr std::uint32_t kMaxDoublings = 6;
/** How long a member may take to notice a closed connection. Its slot is not
 * reused before. */
constexpr milliseconds kCloseDetectionTime{50};
/** A batch or an attempt to connect that takes longer is reported as
 * unresponsive. */
constexpr milliseconds kUnresponsiveThreshold{250};

}  // namespace

ConnectionPool::ConnectionPool(PoolHooks pool_hooks, std::uint64_t seed)
    : hooks(std::move(pool_hooks)),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

std::vector<ConnectionId> ConnectionPool::Configure(
    const MemberInfo& member, std::uint32_t max_connections) {
  const bool address_changed = !(this->info.endpoint == member.endpoint);
  this->info = member;
  this->limit = max_connections;
  std::vector<ConnectionId> closed;
  if (address_changed) {
    for (const auto& entry : this->entries) closed.push_back(entry.first);
    for (const ConnectionId id : closed) this->Close(id);
    this->failures = 0;
    this->next_attempt_at = {};
    this->just_closed = 0;
    this->closing.clear();
  }
  for (auto idle = this->FindIdle(); idle && this->Size() > this->Limit();
       idle = this->FindIdle()) {
    this->Close(*idle);
  }
  return closed;
}

void ConnectionPool::CountClosing(steady_clock::time_point now) {
  while (!this->closing.empty() && this->closing.front() <= now) {
    this->closing.pop_front();
  }
  this->closing.insert(this->closing.end(), this->just_closed,
                       now + kCloseDetectionTime);
  this->just_closed = 0;
}

void ConnectionPool::OpenMissing(steady_clock::time_point now) {
  this->CountClosing(now);
  if (now < this->next_attempt_at) return;
  while (this->Size() + this->closing.size() < this->Limit()) {
    const bool opening = this->FindByState(State::kOpening).has_value();
    if (this->failures > 0 && opening) return;
    const ConnectionId id = this->hooks.next_connection();
    this->entries[id].began = now;
    this->hooks.port.open(id, this->info);
  }
}

std::optional<ConnectionId> ConnectionPool::FindByState(State state) const {
  for (const auto& entry : this->entries) {
    if (entry.second.state == state) return entry.first;
  }
  return std::nullopt;
}

std::optional<ConnectionId> ConnectionPool::FindIdle() const {
  return this->FindByState(State::kIdle);
}

std::optional<ConnectionId> ConnectionPool::FindPinned() const {
  return this->FindByState(State::kPinned);
}

bool ConnectionPool::IsPinned(ConnectionId id) const {
  return this->entries.at(id).state == State::kPinned;
}

void ConnectionPool::Send(steady_clock::time_point now, ConnectionId id,
                          const MemberBatch& batch) {
  this->entries.at(id) = Entry{State::kBusy, now, false};
  this->hooks.port.execute(id, batch);
}

void ConnectionPool::Return(ConnectionId id) {
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

void ConnectionPool::Observe(steady_clock::time_point now,
                             MemberObservation observation) {
  if (this->hooks.observe) this->hooks.observe(this->info.id, observation, now);
}

void ConnectionPool::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->failures = 0;
  this->Return(id);
  this->Observe(now, MemberObservation::kAnswered);
}

milliseconds ConnectionPool::NextRetryDelay(ConnectionFailure failure) {
  const milliseconds first = failure == ConnectionFailure::kTooManyConnections
                                 ? kTooManyConnectionsRetryDelay
                                 : kRefusedRetryDelay;
  const std::uint32_t doublings = std::min(this->failures, kMaxDoublings);
  const milliseconds delay =
      std::min(first * (1U << doublings), kMaxRetryDelay);
  ++this->failures;
  std::uniform_int_distribution<milliseconds::rep> jitter(delay.count() / 2,
                                                          delay.count());
  return milliseconds(jitter(this->random));
}

void ConnectionPool::OnLost(steady_clock::time_point now, ConnectionId id,
                            ConnectionFailure failure) {
  const auto node = this->entries.extract(id);
  if (node.empty()) return;
  const bool opening = node.mapped().state == State::kOpening;
  if (opening) this->next_attempt_at = now + this->NextRetryDelay(failure);
  this->Observe(
      now, opening ? MemberObservation::kRefused : MemberObservation::kLost);
}

void ConnectionPool::OnCompleted(steady_clock::time_point now,
                                 ConnectionId id) {
  this->entries.at(id).reported_unresponsive = false;
  this->Observe(now, MemberObservation::kAnswered);
}

bool ConnectionPool::IsUnavailable(steady_clock::time_point now,
                                   std::chrono::nanoseconds timeout) const {
  if (this->entries.empty()) return this->failures > 0;
  return std::all_of(this->entries.begin(), this->entries.end(),
                     [&](const auto& entry) {
                       const Entry& one = entry.second;
                       if (this->failures > 0 && one.state == State::kOpening)
                         return true;
                       return Outstanding(one) && now - one.began >= timeout;
                     });
}

bool ConnectionPool::Outstanding(const Entry& entry) {
  return entry.state == State::kOpening || entry.state == State::kBusy;
}

void ConnectionPool::ReportUnresponsive(steady_clock::time_point now) {
  for (auto& [id, entry] : this->entries) {
    if (!Outstanding(entry) || entry.reported_unresponsive) continue;
    if (now - entry.began < kUnresponsiveThreshold) continue;
    entry.reported_unresponsive = true;
    this->Observe(now, MemberObservation::kUnresponsive);
  }
}

std::optional<steady_clock::time_point> ConnectionPool::NextWakeup() const {
  std::optional<steady_clock::time_point> next;
  const auto consider = [&next](steady_clock::time_point time) {
    if (!next || time < *next) next = time;
  };
  const bool opening = this->FindByState(State::kOpening).has_value();
  if (this->Size() < this->Limit() && (this->failures == 0 || !opening)) {
    const bool full = this->Size() + this->closing.size() >= this->Limit();
    consider(full ? std::max(this->next_attempt_at, this->closing.front())
                  : this->next_attempt_at);
  }
  for (const auto& [id, entry] : this->entries) {
    if (Outstanding(entry) && !entry.reported_unresponsive) {
      consider(entry.began + kUnresponsiveThreshold);
    }
  }
  return next;
}

}  // namespace lacewingferry
