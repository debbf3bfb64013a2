#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_

// Defines PositionHistory, which gives the log position that a replica must
// have for a read with a staleness limit.

#include <chrono>
#include <deque>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Log positions of a group's primary, each with the time at which it was
 * requested. A position includes every commit that was acknowledged before the
 * request was sent. Of all samples that are recent enough for a read, the
 * oldest therefore gives the lowest sufficient position.
 */
class PositionHistory {
 public:
  /** Adds a position of the primary. Samples may arrive out of order. */
  void Add(std::chrono::steady_clock::time_point requested_at,
           const LogPosition& position);

  /** The lowest position that a read begun at `began_at` must see so that it
   * includes every commit acknowledged more than max_staleness earlier; none
   * if no sample is recent enough. */
  std::optional<LogPosition> LeastPositionFor(
      std::chrono::steady_clock::time_point began_at,
      std::chrono::milliseconds max_staleness) const;

  /** The request time of the newest sample; none if there is no sample. */
  std::optional<std::chrono::steady_clock::time_point> NewestRequestTime()
      const;

  /** Sets the position at which the log of the primary's term began. Entries
   * of earlier terms after this position were rolled back and never
   * acknowledged. */
  void SetTermStart(const LogPosition& start) { this->term_start = start; }

  /** Maps a position into the log of the current term: a position that was
   * rolled back becomes the start of the term. */
  LogPosition ClampToTerm(const LogPosition& position) const;

 private:
  struct Sample {
    std::chrono::steady_clock::time_point requested_at;
    LogPosition position;
  };

  /** In the order of request time; positions never decrease. */
  std::deque<Sample> samples;
  /** The highest position added so far. */
  std::optional<LogPosition> newest;
  LogPosition term_start;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_POSITION_HISTORY_H_
