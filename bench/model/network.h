#ifndef BENCH_MODEL_NETWORK_H_
#define BENCH_MODEL_NETWORK_H_

// Defines Network, the latencies and partitions between availability zones in
// virtual time.

#include <chrono>
#include <functional>
#include <set>
#include <utility>

#include "bench/model/event_queue.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry::model {

/** Delivers actions from zone to zone after the one-way latency; drops what
 * crosses a partition, at the start or at the end of its way. */
class Network {
 public:
  /** between gives the one-way latency of two different zones, and inside the
   * one within a zone. */
  Network(EventQueue& queue, std::chrono::nanoseconds between,
          std::chrono::nanoseconds inside);

  /** Runs an action at its destination. */
  void Deliver(const AvailabilityZone& from, const AvailabilityZone& to,
               std::function<void()> action);

  /** Cuts or heals two zones from each other, both ways. */
  void SetCut(const AvailabilityZone& a, const AvailabilityZone& b, bool cut);

  /** Whether two zones reach each other. */
  bool Reaches(const AvailabilityZone& from, const AvailabilityZone& to) const;

  /** The one-way latency. */
  std::chrono::nanoseconds Latency(const AvailabilityZone& from,
                                   const AvailabilityZone& to) const;

 private:
  using Pair = std::pair<AvailabilityZone, AvailabilityZone>;

  EventQueue& queue;
  std::chrono::nanoseconds between;
  std::chrono::nanoseconds inside;
  std::set<Pair> cuts;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_NETWORK_H_
