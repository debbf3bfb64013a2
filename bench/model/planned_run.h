#ifndef BENCH_MODEL_PLANNED_RUN_H_
#define BENCH_MODEL_PLANNED_RUN_H_

// Defines RunPlannedChanges, callers before a fleet in which nothing fails
// while a replica leaves and a proxy stops, in virtual time.

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "bench/model/history_checker.h"

namespace lacewingferry::model {

/** What a run does; the seed decides the rest. */
struct PlannedOptions {
  std::uint64_t seed = 1;
  std::size_t works = 300;
  std::chrono::milliseconds length{9000};
  /** Whether the proxies hear that the replica leaves. */
  bool leaving_is_heard = true;
  /** Whether the proxy finishes its work before it ends. */
  bool drains = true;
};

/** Runs once and returns what happened. */
History RunPlannedChanges(const PlannedOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_PLANNED_RUN_H_
