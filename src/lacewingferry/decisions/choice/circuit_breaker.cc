#include "lacewingferry/decisions/choice/circuit_breaker.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** So many bad answers in a row open the breaker. */
constexpr std::uint32_t kBadToOpen = 5;
/** The pause before the first try, and the longest one. */
constexpr milliseconds kFirstPause{500};
constexpr milliseconds kLongestPause{8000};
/** Doublings from the first to the longest pause. */
constexpr std::uint32_t kMostDoublings = 4;

}  // namespace

CircuitBreaker::CircuitBreaker(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed)) {}

milliseconds CircuitBreaker::NextPause() {
  const std::uint32_t doublings = std::min(this->openings, kMostDoublings);
  const milliseconds pause =
      std::min(kFirstPause * (1U << doublings), kLongestPause);
  ++this->openings;
  std::uniform_int_distribution<milliseconds::rep> jitter(pause.count() / 2,
                                                          pause.count());
  return milliseconds(jitter(this->random));
}

bool CircuitBreaker::OnGood() {
  this->bad_in_a_row = 0;
  // While it is open, answers to requests from before say nothing new.
  if (!this->trying) return false;
  this->Close();
  return true;
}

bool CircuitBreaker::OnBad(steady_clock::time_point now) {
  if (this->open && !this->trying) return false;
  ++this->bad_in_a_row;
  if (!this->open && this->bad_in_a_row < kBadToOpen) return false;
  const bool opened = !this->open;
  this->open = true;
  this->trying = false;
  this->try_at = now + this->NextPause();
  return opened;
}

void CircuitBreaker::Close() {
  this->open = false;
  this->trying = false;
  this->bad_in_a_row = 0;
  this->openings = 0;
}

}  // namespace lacewingferry
