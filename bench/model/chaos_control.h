#ifndef BENCH_MODEL_CHAOS_CONTROL_H_
#define BENCH_MODEL_CHAOS_CONTROL_H_

// Defines ChaosControl, a stand-in for control that leases, promotes and
// publishes, and that breaks members, proxies and zones at random.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fleet.h"

namespace lacewingferry::model {

/** Mistakes that tests switch on. */
struct ControlFaults {
  /** Whether control waits for the leases to end before it promotes; else they
   * never end and it doesn't wait. */
  bool waits_for_leases = true;
  /** Whether it promotes the fenced member with the newest log; else the one
   * with the oldest. */
  bool most_advanced = true;
};

/** Reaches every zone that isn't isolated. */
class ChaosControl {
 public:
  ChaosControl(EventQueue& queue, Fleet& fleet, std::mt19937_64& random,
               ControlFaults faults);

  /** Causes faults for a time, then heals all of them. */
  void Start(std::chrono::milliseconds length);

  const MemberId& Primary() const { return this->primary; }

  /** When the primary of each term was promoted. */
  const std::map<std::uint64_t, std::chrono::steady_clock::time_point>&
  PromotedAt() const {
    return this->promoted_at;
  }

 private:
  void Beat();
  void Fault();
  void HealAll();
  void Isolate(std::size_t zone);
  void Heal();
  /** Stalls a proxy that holds connections to the primary. */
  void PauseOwner(std::chrono::milliseconds time);
  void BeginFailover();
  void Promote();
  bool Reached(std::size_t zone) const;
  bool PrimaryUsable();
  std::size_t Pick(std::size_t below);

  EventQueue& queue;
  Fleet& fleet;
  std::mt19937_64& random;
  ControlFaults faults;
  std::vector<AvailabilityZone> zones;
  std::optional<std::size_t> isolated;
  std::uint64_t term = 1;
  MemberId primary;
  bool failing_over = false;
  bool calm = false;
  std::chrono::steady_clock::time_point end;
  std::chrono::steady_clock::time_point last_lease;
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> promoted_at;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_CHAOS_CONTROL_H_
