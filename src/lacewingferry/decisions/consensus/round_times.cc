#include "lacewingferry/decisions/consensus/round_times.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void RoundTimes::Begin(steady_clock::time_point now) {
  this->starts.push_back(now);
  if (this->starts.size() > kRememberedRounds) {
    this->starts.pop_front();
    ++this->oldest_round;
  }
}

std::optional<steady_clock::time_point> RoundTimes::StartOf(
    std::uint64_t round) const {
  if (round < this->oldest_round || round > this->Current()) {
    return std::nullopt;
  }
  return this->starts[round - this->oldest_round];
}

}  // namespace lacewingferry
