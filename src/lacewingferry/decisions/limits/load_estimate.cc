#include "lacewingferry/decisions/limits/load_estimate.h"

#include <algorithm>
#include <cstdint>

namespace lacewingferry {
namespace {

using std::chrono::nanoseconds;

/** A new time has a weight of one in this many in the average. */
constexpr int kAverageDivisor = 16;

/** Allowance for confirmations slower than the average, in mean deviations. */
constexpr int kDeviationAllowance = 2;

nanoseconds Average(nanoseconds mean, nanoseconds time) {
  if (mean.count() == 0) return time;
  return mean + (time - mean) / kAverageDivisor;
}

}  // namespace

void LoadEstimate::AddHold(nanoseconds time) {
  this->hold = Average(this->hold, time);
}

void LoadEstimate::AddConfirmation(nanoseconds time) {
  const nanoseconds error = time - this->confirmation;
  this->confirmation = Average(this->confirmation, time);
  this->deviation = Average(this->deviation, std::max(error, -error));
}

void LoadEstimate::Decay() {
  this->hold -= this->hold / kAverageDivisor;
  this->confirmation -= this->confirmation / kAverageDivisor;
  this->deviation -= this->deviation / kAverageDivisor;
}

nanoseconds LoadEstimate::TimeToAnswer(std::size_t ahead,
                                       std::size_t connections,
                                       bool confirmed) const {
  const auto rounds =
      static_cast<std::int64_t>(ahead / std::max<std::size_t>(1, connections));
  const nanoseconds own = this->hold * (rounds + 1);
  return confirmed
             ? own + this->confirmation + kDeviationAllowance * this->deviation
             : own;
}

}  // namespace lacewingferry
