#include "lacewingferry/decisions/limits/retry_schedule.h"

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kInitialPause{10};
constexpr milliseconds kMaxPause{400};
/** Doublings from the first to the longest pause. */
constexpr std::uint32_t kMaxDoublings = 6;
/** Requests that waited for a new primary are spread over this time. */
constexpr milliseconds kExpediteSpread{50};

}  // namespace

RetrySchedule::RetrySchedule(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed)) {}

milliseconds RetrySchedule::BackoffAfter(std::uint32_t rounds) {
  const std::uint32_t doublings = std::min(rounds, kMaxDoublings);
  const milliseconds pause =
      std::min(kInitialPause * (1U << doublings), kMaxPause);
  std::uniform_int_distribution<milliseconds::rep> jitter(pause.count() / 2,
                                                          pause.count());
  return milliseconds(jitter(this->random));
}

void RetrySchedule::Add(steady_clock::time_point at, Action action) {
  this->waiting.emplace(at, std::move(action));
}

void RetrySchedule::Expedite(steady_clock::time_point now) {
  std::uniform_int_distribution<milliseconds::rep> spread(
      0, kExpediteSpread.count());
  std::multimap<steady_clock::time_point, Action> sooner;
  for (auto& [at, action] : this->waiting) {
    const steady_clock::time_point soon =
        now + milliseconds(spread(this->random));
    sooner.emplace(std::min(at, soon), std::move(action));
  }
  this->waiting = std::move(sooner);
}

std::vector<RetrySchedule::Action> RetrySchedule::TakeDue(
    steady_clock::time_point now) {
  std::vector<Action> due;
  const auto end = this->waiting.upper_bound(now);
  for (auto it = this->waiting.begin(); it != end; ++it) {
    due.push_back(std::move(it->second));
  }
  this->waiting.erase(this->waiting.begin(), end);
  return due;
}

std::optional<steady_clock::time_point> RetrySchedule::Next() const {
  if (this->waiting.empty()) return std::nullopt;
  return this->waiting.begin()->first;
}

}  // namespace lacewingferry
