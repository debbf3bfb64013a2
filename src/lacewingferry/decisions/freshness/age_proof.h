#ifndef LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_
#define LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_

// Defines AgeProof, with which the proxy that received a read bounds the age of
// a replica's data.

#include <chrono>
#include <optional>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/freshness/primary_samples.h"

namespace lacewingferry {

/**
 * Bounds ages by this proxy's own samples of the primary's position, and by the
 * age that the owner of the replica's connection reports. The owner's figure
 * refers to when it received the read, so the travel time of the request has to
 * be added, which can't be told apart from that of the answer. A sample taken
 * by this proxy needs neither.
 */
class AgeProof {
 public:
  explicit AgeProof(const PrimarySamples& own_samples) : samples(own_samples) {}

  /** The lowest position at which a replica's data is no older than max_age
   * when its answer arrives here; none if no sample shows one. */
  std::optional<LogPosition> LowestPosition(
      std::chrono::steady_clock::time_point now,
      std::chrono::milliseconds max_age,
      std::chrono::nanoseconds return_time) const;

  /** An upper bound, as of now, on the age of the data in an answer to a read
   * that was sent at sent_at; none if nothing bounds it. */
  std::optional<std::chrono::milliseconds> Bound(
      std::chrono::steady_clock::time_point now,
      std::chrono::steady_clock::time_point sent_at,
      const Answered& answer) const;

 private:
  const PrimarySamples& samples;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FRESHNESS_AGE_PROOF_H_
