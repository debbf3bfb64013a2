#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_RECENT_USE_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_RECENT_USE_H_

// Defines RecentUse, a count of uses in which older ones weigh less.

#include <chrono>
#include <cmath>

namespace lacewingferry {

/** Counts uses; each loses half of its weight within the half-life. */
class RecentUse {
 public:
  void Add(std::chrono::steady_clock::time_point now) {
    this->weight = this->At(now) + 1;
    this->updated = now;
  }

  double At(std::chrono::steady_clock::time_point now) const {
    const std::chrono::duration<double> passed = now - this->updated;
    const std::chrono::duration<double> half_life = kHalfLife;
    return this->weight * std::exp2(-passed.count() / half_life.count());
  }

 private:
  /** Long enough to tell a customer that asks every few seconds from one that
   * hardly asks, short enough to follow a burst. */
  static constexpr std::chrono::milliseconds kHalfLife{5000};

  double weight = 0;
  std::chrono::steady_clock::time_point updated;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_RECENT_USE_H_
