#include "lacewingferry/decisions/choice/slow_start.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Parts are counted in thousandths. */
constexpr std::int64_t kWhole = 1000;
/** The part at the beginning. */
constexpr std::int64_t kFirstPart = 100;

}  // namespace

bool SlowStart::Admit(std::chrono::steady_clock::time_point now) {
  if (!this->began) return true;
  const std::chrono::nanoseconds since = now - *this->began;
  const std::chrono::nanoseconds step = kSlowStartTime;
  const std::int64_t part = std::max(kFirstPart, since * kWhole / step);
  if (part >= kWhole) {
    this->began.reset();
    this->due = 0;
    return true;
  }
  this->due += part;
  if (this->due < kWhole) return false;
  this->due -= kWhole;
  return true;
}

}  // namespace lacewingferry
