#ifndef LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_

// Defines CircuitBreaker, which decides when requests avoid a member and when a
// trial request may be sent to it.

#include <chrono>
#include <cstdint>
#include <random>

namespace lacewingferry {

/** Opens after consecutive failures, stays open for a randomized pause, then
 * admits a single trial request to the member. If the trial succeeds, the
 * breaker closes; if it fails, the breaker opens again for twice as long. */
class CircuitBreaker {
 public:
  /** The seed makes the pauses of different breakers differ. */
  explicit CircuitBreaker(std::uint64_t seed);

  /** Records a good answer. Returns whether it closed the breaker. */
  bool OnSuccess();

  /** Records a failure or a far too slow answer. Returns whether it opened the
   * breaker. */
  bool OnFailure(std::chrono::steady_clock::time_point now);

  /** Whether requests have to avoid the member. */
  bool Open() const { return this->open; }

  /** Whether a trial request may be sent now. */
  bool TrialDue(std::chrono::steady_clock::time_point now) const {
    return this->open && !this->in_trial && now >= this->trial_at;
  }

  /** Records that the trial request was sent. */
  void OnTrialSent() { this->in_trial = true; }

  /** Records that the outcome of the trial request will never be known, so that
   * another one may be sent. */
  void ForgetTrial() { this->in_trial = false; }

  /** Closes without a trial, for a member that is no worse than the others. */
  void Close();

 private:
  std::chrono::milliseconds NextPause();

  std::minstd_rand random;
  bool open = false;
  bool in_trial = false;
  /** Failures since the last good answer. */
  std::uint32_t consecutive_failures = 0;
  /** How often the breaker has opened since it was last closed. */
  std::uint32_t openings = 0;
  std::chrono::steady_clock::time_point trial_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_
