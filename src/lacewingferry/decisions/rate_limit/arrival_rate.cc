#include "lacewingferry/decisions/rate_limit/arrival_rate.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void ArrivalRate::Add(steady_clock::time_point now) {
  const std::int64_t number = NumberAt(now);
  Slot& slot = this->slots[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) slot = Slot{number, 0};
  ++slot.arrivals;
}

double ArrivalRate::PerSecond(steady_clock::time_point now) const {
  const std::int64_t newest = NumberAt(now);
  std::uint32_t arrivals = 0;
  for (const Slot& slot : this->slots) {
    const auto age = newest - slot.number;
    const bool recent =
        slot.number >= 0 && age >= 0 && age < static_cast<std::int64_t>(kSlots);
    if (recent) arrivals += slot.arrivals;
  }
  const std::chrono::duration<double> window = kSlotLength * kSlots;
  return arrivals / window.count();
}

}  // namespace lacewingferry
