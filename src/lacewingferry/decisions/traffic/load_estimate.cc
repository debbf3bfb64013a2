#include "lacewingferry/decisions/traffic/load_estimate.h"

#include <algorithm>
#include <cstdint>

namespace lacewingferry {
namespace {

using std::chrono::nanoseconds;

/** A new time counts for one part in this many. */
constexpr int kAveragedOver = 16;

nanoseconds Average(nanoseconds mean, nanoseconds time) {
  if (mean.count() == 0) return time;
  return mean + (time - mean) / kAveragedOver;
}

}  // namespace

void LoadEstimate::AddHold(nanoseconds time) {
  this->hold = Average(this->hold, time);
}

void LoadEstimate::AddConfirmation(nanoseconds time) {
  this->confirmation = Average(this->confirmation, time);
}

void LoadEstimate::Relax() {
  this->hold -= this->hold / kAveragedOver;
  this->confirmation -= this->confirmation / kAveragedOver;
}

nanoseconds LoadEstimate::TimeToAnswer(std::size_t ahead,
                                       std::size_t connections,
                                       bool confirmed) const {
  const auto rounds =
      static_cast<std::int64_t>(ahead / std::max<std::size_t>(1, connections));
  const nanoseconds own = this->hold * (rounds + 1);
  return confirmed ? own + this->confirmation : own;
}

}  // namespace lacewingferry
