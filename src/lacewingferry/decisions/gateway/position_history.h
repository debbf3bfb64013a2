#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_

// Defines PositionHistory, which tells what position a member's log must have
// for a read of a stated age.

#include <chrono>
#include <deque>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Positions of a group's primary, each with the time at which the question was
 * sent. A position covers every commit that was acknowledged before its
 * question. So of all that are young enough for a read the oldest one asks the
 * least of a replica.
 */
class PositionHistory {
 public:
  /** Takes a position of the primary; times may come out of order. */
  void Add(std::chrono::steady_clock::time_point asked,
           const LogPosition& position);

  /** The least position that a read begun at a time must find, so that it
   * misses nothing acknowledged longer than max_staleness before; none if no
   * position is young enough. */
  std::optional<LogPosition> LeastFor(
      std::chrono::steady_clock::time_point begun,
      std::chrono::milliseconds max_staleness) const;

  /** When the newest position was asked for; none without one. */
  std::optional<std::chrono::steady_clock::time_point> NewestAsked() const;

  /** Notes where the log of the primary's term began; what an earlier term
   * held after it was rolled back and never acknowledged. */
  void SetTermStart(const LogPosition& start) { this->term_start = start; }

  /** A position as the present term's log has it: one that was rolled back
   * becomes the start of the term. */
  LogPosition InTerm(const LogPosition& position) const;

 private:
  struct Sample {
    std::chrono::steady_clock::time_point asked;
    LogPosition position;
  };

  /** In the order of asking, with rising positions. */
  std::deque<Sample> samples;
  /** The highest position known. */
  std::optional<LogPosition> newest;
  LogPosition term_start;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_
