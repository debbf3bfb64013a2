#ifndef BENCH_MODEL_TRAFFIC_CHAOS_H_
#define BENCH_MODEL_TRAFFIC_CHAOS_H_

// Defines RunTrafficChaos, callers before a fleet while members and proxies
// die, zones are cut off and primaries are replaced, in virtual time.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "bench/model/fleet.h"
#include "bench/model/history_checker.h"
#include "lacewingferry/decisions/execution/request_record.h"

namespace lacewingferry::model {

/** Requests of a run in which one has to be under way at each promotion. */
constexpr std::size_t kDenseWorks = 300;

/** What a run does; the seed decides the rest. */
struct ChaosOptions {
  std::uint64_t seed = 1;
  std::size_t works = 60;
  std::chrono::milliseconds length{6000};
  /** Whether control waits for the leases to end before it promotes; else they
   * never end and it doesn't wait. */
  bool lease_wall = true;
  /** Whether a write needs a majority; else the primary alone is enough. */
  bool majority_wall = true;
  /** Whether refusals and unknown outcomes are told as they are; else every
   * unknown outcome is told as not run. */
  bool truthful = true;
  /** Whether the rows of identifiers are written. */
  bool identifiers = true;
  /** Whether control promotes the newest of the fenced members. */
  bool most_advanced = true;
  /** Whether slots change hands under witnesses and are counted. */
  bool seats = false;
  /** Changes the fleet before the start; may be empty. */
  std::function<void(FleetOptions&)> adjust;
  /** Changes a request before its proxy sees it; may be empty. */
  std::function<void(StatementRequest&)> on_request;
};

/** Runs once and returns what happened. */
History RunTrafficChaos(const ChaosOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_TRAFFIC_CHAOS_H_
