#ifndef BENCH_MODEL_OVERLOAD_H_
#define BENCH_MODEL_OVERLOAD_H_

// Defines RunOverload, callers that ask more of a primary than it can serve,
// in virtual time.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "bench/model/fleet.h"

namespace lacewingferry::model {

/** The load. Each caller is a session and sends one request at a time. */
struct OverloadOptions {
  FleetOptions fleet;
  std::size_t callers = 75;
  /** The part of the callers that belong to the first customer, in percent;
   * the others are spread over nine customers. */
  std::uint32_t first_customer_percent = 10;
  /** The time that a write holds its connection at the member. */
  std::chrono::milliseconds service{10};
  /** The time limit of each request. */
  std::chrono::milliseconds timeout{250};
  /** The mean pause of a caller between two requests. */
  std::chrono::milliseconds think{0};
  std::chrono::milliseconds length{10000};
  /** Requests a second from callers that don't wait for their answers; 0 for
   * callers that do. */
  std::uint32_t offered_per_second = 0;
  /** The part of reads at the primary, in percent. */
  std::uint32_t read_percent = 0;
  /** Whether writes are acknowledged as soon as the primary committed them,
   * which loses them with it: the baseline. */
  bool ack_at_commit = false;
  std::uint64_t seed = 1;
};

/** What came of it. Only answers within the time limit count as served. */
struct OverloadResult {
  std::uint64_t sent = 0;
  std::uint64_t served_writes = 0;
  std::uint64_t served_reads = 0;
  std::uint64_t refused_early = 0;
  std::uint64_t late = 0;
  std::uint64_t unknown = 0;
  /** Writes that the first primary has committed. */
  std::uint64_t committed = 0;
  /** Served requests of the caller with the fewest and the most. */
  std::uint64_t least_served = 0;
  std::uint64_t most_served = 0;
  std::chrono::microseconds median{0};
  std::chrono::microseconds p99{0};
};

OverloadResult RunOverload(const OverloadOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_OVERLOAD_H_
