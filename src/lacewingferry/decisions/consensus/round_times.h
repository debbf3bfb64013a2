#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_

// Defines RoundTimes, the start times of a leader's rounds.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace lacewingferry {

/** Stores the start times of the newest rounds. A message sent later in a round
 * is dated from the round's start, which can only shorten a lease. */
class RoundTimes {
 public:
  /** Begins the next round. Rounds are numbered from 1. */
  void Begin(std::chrono::steady_clock::time_point now);

  /** The newest round; 0 before the first. */
  std::uint64_t Current() const {
    return this->oldest_round + this->starts.size() - 1;
  }

  /** When a round began; none if it was discarded or never began. */
  std::optional<std::chrono::steady_clock::time_point> StartOf(
      std::uint64_t round) const;

 private:
  /** A reply to an older round is too late to extend the lease. */
  static constexpr std::size_t kRememberedRounds = 64;

  std::uint64_t oldest_round = 1;
  std::deque<std::chrono::steady_clock::time_point> starts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_ROUND_TIMES_H_
