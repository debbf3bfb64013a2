#ifndef LACEWINGFERRY_DECISIONS_RATE_LIMIT_ARRIVAL_RATE_H_
#define LACEWINGFERRY_DECISIONS_RATE_LIMIT_ARRIVAL_RATE_H_

// Defines ArrivalRate, an estimate of how many arrivals per second there are
// now.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingferry {

/** Counts arrivals in a sliding window of a few slots. */
class ArrivalRate {
 public:
  void Add(std::chrono::steady_clock::time_point now);

  /** Arrivals per second in the window. */
  double PerSecond(std::chrono::steady_clock::time_point now) const;

  /** Whether nothing arrived in the window. */
  bool IsZero(std::chrono::steady_clock::time_point now) const {
    return this->PerSecond(now) == 0;
  }

 private:
  static constexpr std::size_t kSlots = 4;
  static constexpr std::chrono::milliseconds kSlotLength{500};

  struct Slot {
    std::int64_t number = -1;
    std::uint32_t arrivals = 0;
  };

  static std::int64_t NumberAt(std::chrono::steady_clock::time_point now) {
    return now.time_since_epoch() / kSlotLength;
  }

  std::array<Slot, kSlots> slots;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_RATE_LIMIT_ARRIVAL_RATE_H_
