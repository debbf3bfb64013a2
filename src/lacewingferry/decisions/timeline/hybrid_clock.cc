#include "lacewingferry/decisions/timeline/hybrid_clock.h"

#include <algorithm>

namespace lacewingferry {
namespace {

HybridTime ToHybridTime(std::chrono::system_clock::time_point wall) {
  return std::chrono::time_point_cast<std::chrono::microseconds>(wall);
}

}  // namespace

HybridTime HybridClock::Tick(std::chrono::system_clock::time_point wall_now) {
  this->last = std::max(ToHybridTime(wall_now),
                        this->last + std::chrono::microseconds(1));
  return this->last;
}

void HybridClock::Receive(HybridTime remote,
                          std::chrono::system_clock::time_point wall_now) {
  if (remote <= ToHybridTime(wall_now) + kMaxTimeAhead) {
    this->last = std::max(this->last, remote);
  }
}

}  // namespace lacewingferry
