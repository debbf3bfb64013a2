#ifndef LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_

// Defines CircuitBreaker, which tells when a member is left alone for a while
// and when one request may try it again.

#include <chrono>
#include <cstdint>
#include <random>

namespace lacewingferry {

/** Opens after a run of bad answers, stays open for a randomized pause, then
 * lets a single request try the member. A good try closes it; a bad one opens
 * it again for twice as long. */
class CircuitBreaker {
 public:
  /** The seed varies the pauses of different breakers. */
  explicit CircuitBreaker(std::uint64_t seed);

  /** Takes that the member answered as it should. Returns whether that closed
   * the breaker. */
  bool OnGood();

  /** Takes a failure or a far too slow answer. Returns whether that opened the
   * breaker. */
  bool OnBad(std::chrono::steady_clock::time_point now);

  /** Whether requests go elsewhere. */
  bool Open() const { return this->open; }

  /** Whether one request may try the member now. */
  bool TryDue(std::chrono::steady_clock::time_point now) const {
    return this->open && !this->trying && now >= this->try_at;
  }

  /** Takes that the one request is on its way. */
  void OnTry() { this->trying = true; }

  /** Takes that the outcome of a try will never be told. */
  void ForgetTry() { this->trying = false; }

  /** Closes without a try, when the member isn't worse than the others. */
  void Close();

 private:
  std::chrono::milliseconds NextPause();

  std::minstd_rand random;
  bool open = false;
  bool trying = false;
  /** Bad answers since the last good one. */
  std::uint32_t bad_in_a_row = 0;
  /** How often the breaker has opened since it was last closed. */
  std::uint32_t openings = 0;
  std::chrono::steady_clock::time_point try_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_CIRCUIT_BREAKER_H_
