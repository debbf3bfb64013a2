#include "lacewingferry/decisions/choice/circuit_breaker.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Consecutive failures that open the breaker. */
constexpr std::uint32_t kFailuresToOpen = 5;
/** The pause before the first trial request, and the longest pause. */
constexpr milliseconds kInitialPause{500};
constexpr milliseconds kMaxPause{8000};
/** Doublings from the first to the longest pause. */
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

CircuitBreaker::CircuitBreaker(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed)) {}

milliseconds CircuitBreaker::NextPause() {
  const std::uint32_t doublings = std::min(this->openings, kMaxDoublings);
  const milliseconds pause =
      std::min(kInitialPause * (1U << doublings), kMaxPause);
  ++this->openings;
  std::uniform_int_distribution<milliseconds::rep> jitter(pause.count() / 2,
                                                          pause.count());
  return milliseconds(jitter(this->random));
}

bool CircuitBreaker::OnSuccess() {
  this->consecutive_failures = 0;
  // While the breaker is open, answers to requests sent before it opened are
  // ignored.
  if (!this->in_trial) return false;
  this->Close();
  return true;
}

bool CircuitBreaker::OnFailure(steady_clock::time_point now) {
  if (this->open && !this->in_trial) return false;
  ++this->consecutive_failures;
  if (!this->open && this->consecutive_failures < kFailuresToOpen) return false;
  const bool opened = !this->open;
  this->open = true;
  this->in_trial = false;
  this->trial_at = now + this->NextPause();
  return opened;
}

void CircuitBreaker::Close() {
  this->open = false;
  this->in_trial = false;
  this->consecutive_failures = 0;
  this->openings = 0;
}

}  // namespace lacewingferry
