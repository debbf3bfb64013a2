#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_

// Defines RoundTimes, when each of a leader's rounds began.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace lacewingferry {

/** Remembers the start of the newest rounds. A message sent later in a round
 * counts from the round's start, which only shortens a lease. */
class RoundTimes {
 public:
  /** Begins the next round; the first has the number 1. */
  void Begin(std::chrono::steady_clock::time_point now);

  /** The newest round; 0 before the first. */
  std::uint64_t Current() const {
    return this->oldest_round + this->starts.size() - 1;
  }

  /** When a round began; none for one that is forgotten or never began. */
  std::optional<std::chrono::steady_clock::time_point> StartOf(
      std::uint64_t round) const;

 private:
  /** An answer to an older round confirms nothing of use any more. */
  static constexpr std::size_t kRememberedRounds = 64;

  std::uint64_t oldest_round = 1;
  std::deque<std::chrono::steady_clock::time_point> starts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_
