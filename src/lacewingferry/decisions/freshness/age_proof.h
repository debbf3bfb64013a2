#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_

// Defines AgeProof, what the proxy that received a read can prove of the age
// of a replica's data.

#include <chrono>
#include <optional>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/freshness/primary_samples.h"

namespace lacewingferry {

/**
 * Proves ages by this proxy's own samples beside the owner's figure. That
 * figure is of the time at which the owner received the read, so the way to
 * the owner has to be added, which can't be told from the way back. A sample
 * of this proxy's own needs neither.
 */
class AgeProof {
 public:
  explicit AgeProof(const PrimarySamples& own_samples) : samples(own_samples) {}

  /** The lowest position that makes a replica's data no older than max_age
   * when its answer gets here; none if no sample tells. */
  std::optional<LogPosition> LowestPosition(
      std::chrono::steady_clock::time_point now,
      std::chrono::milliseconds max_age,
      std::chrono::nanoseconds return_time) const;

  /** The greatest age of a replica's answer now to a read that was sent at a
   * time; none if nothing bounds it. */
  std::optional<std::chrono::milliseconds> Bound(
      std::chrono::steady_clock::time_point now,
      std::chrono::steady_clock::time_point sent_at,
      const Answered& answer) const;

 private:
  const PrimarySamples& samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_
