#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_

// Defines PrimarySamples, what this proxy knows of where a primary stood.

#include <chrono>
#include <deque>
#include <optional>

#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/**
 * Holds pairs of a local time and a position that the primary had not passed
 * at that time. Data that includes the position is as old as the pair at the
 * most: all that was committed before the time lies at or below the position.
 */
class PrimarySamples {
 public:
  /** Adds a sample. asked_at is when the question left this proxy, not when
   * the answer came. Samples may come late and crossed. */
  void Add(std::chrono::steady_clock::time_point asked_at,
           const LogPosition& position);

  /** The newest time up to which data that includes a position is complete;
   * none if no sample proves one. */
  std::optional<std::chrono::steady_clock::time_point> CompleteUntil(
      const LogPosition& position) const;

  /** A position that the primary had not passed at a local time. */
  struct Sample {
    std::chrono::steady_clock::time_point asked_at;
    LogPosition position;
  };

  /** The earliest sample that was asked for at a time or later; its position
   * holds for the time as well. None without one. */
  std::optional<Sample> EarliestSince(
      std::chrono::steady_clock::time_point time) const;

 private:
  /** Rising in time and in position. */
  std::deque<Sample> samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_PRIMARY_SAMPLES_H_
