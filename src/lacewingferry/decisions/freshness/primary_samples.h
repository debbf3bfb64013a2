#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_

// Defines PrimarySamples, this proxy's record of a primary's log positions.

#include <chrono>
#include <deque>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Holds pairs of a local time and a position that the primary had not passed at
 * that time. Data that includes the position is complete up to that time, since
 * all that was committed before it lies at or below the position.
 */
class PrimarySamples {
 public:
  /** Adds a sample. asked_at is when the request left this proxy, not when the
   * answer arrived. Samples may arrive late and out of order. */
  void Add(std::chrono::steady_clock::time_point asked_at,
           const LogPosition& position);

  /** The latest time up to which data that includes a position is complete;
   * none if no sample proves one. */
  std::optional<std::chrono::steady_clock::time_point> CompleteUntil(
      const LogPosition& position) const;

  /** A position that the primary had not passed at a local time. */
  struct Sample {
    std::chrono::steady_clock::time_point asked_at;
    LogPosition position;
  };

  /** The earliest sample that was requested at a time or later; its position
   * holds for that time as well. None if there is no such sample. */
  std::optional<Sample> EarliestSince(
      std::chrono::steady_clock::time_point time) const;

 private:
  /** In ascending order of both time and position. */
  std::deque<Sample> samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_
