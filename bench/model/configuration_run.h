#ifndef BENCH_MODEL_CONFIGURATION_RUN_H_
#define BENCH_MODEL_CONFIGURATION_RUN_H_

// Defines RunConfigurations, accepted configurations on their way to proxies
// over links that lose, delay and reorder, in virtual time.

#include <cstddef>
#include <cstdint>

#include "bench/model/history_checker.h"

namespace lacewingferry::model {

/** What a run does; the seed decides the rest. */
struct ConfigurationRunOptions {
  std::uint64_t seed = 1;
  std::size_t proxies = 5;
  std::size_t revisions = 20;
  /** Whether a proxy compares an offer with what it holds; else it begins anew
   * with each. */
  bool keeps_higher = true;
  /** Whether control offers again what a proxy reports to lack. */
  bool offers_again = true;
};

/** Runs once and returns what happened. */
History RunConfigurations(const ConfigurationRunOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_CONFIGURATION_RUN_H_
