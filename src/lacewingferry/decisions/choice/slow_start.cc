#include "lacewingferry/decisions/choice/slow_start.h"

#include <algorithm>

namespace lacewingferry {
namespace {

/** Shares are counted in thousandths. */
constexpr std::int64_t kFullShare = 1000;
/** The share at the beginning. */
constexpr std::int64_t kInitialShare = 100;

}  // namespace

bool SlowStart::Admit(std::chrono::steady_clock::time_point now) {
  if (!this->began) return true;
  const std::chrono::nanoseconds since = now - *this->began;
  const std::chrono::nanoseconds step = kSlowStartTime;
  const std::int64_t share = std::max(kInitialShare, since * kFullShare / step);
  if (share >= kFullShare) {
    this->began.reset();
    this->credit = 0;
    return true;
  }
  this->credit += share;
  if (this->credit < kFullShare) return false;
  this->credit -= kFullShare;
  return true;
}

}  // namespace lacewingferry
