#include "lacewingferry/decisions/limits/load_estimate.h"

#include <algorithm>
#include <cstdint>

namespace lacewingferry {
namespace {

using std::chrono::nanoseconds;

/** A new time counts for one part in this many. */
constexpr int kAveragedOver = 16;

/** Deviations above the average that a confirmation is expected to take at
 * most. */
constexpr int kDeviations = 2;

nanoseconds Average(nanoseconds mean, nanoseconds time) {
  if (mean.count() == 0) return time;
  return mean + (time - mean) / kAveragedOver;
}

}  // namespace

void LoadEstimate::AddHold(nanoseconds time) {
  this->hold = Average(this->hold, time);
}

void LoadEstimate::AddConfirmation(nanoseconds time) {
  const nanoseconds off = time - this->confirmation;
  this->confirmation = Average(this->confirmation, time);
  this->deviation = Average(this->deviation, std::max(off, -off));
}

void LoadEstimate::Relax() {
  this->hold -= this->hold / kAveragedOver;
  this->confirmation -= this->confirmation / kAveragedOver;
  this->deviation -= this->deviation / kAveragedOver;
}

nanoseconds LoadEstimate::TimeToAnswer(std::size_t ahead,
                                       std::size_t connections,
                                       bool confirmed) const {
  const auto rounds =
      static_cast<std::int64_t>(ahead / std::max<std::size_t>(1, connections));
  const nanoseconds own = this->hold * (rounds + 1);
  return confirmed ? own + this->confirmation + kDeviations * this->deviation
                   : own;
}

}  // namespace lacewingferry
