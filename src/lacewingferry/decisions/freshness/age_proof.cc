#include "lacewingferry/decisions/freshness/age_proof.h"

#include <algorithm>

#include "lacewingferry/core/clock_drift.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** Time allowed for the owner to run a read. */
constexpr milliseconds kOwnerRunAllowance{10};

}  // namespace

std::optional<LogPosition> AgeProof::LowestPosition(
    steady_clock::time_point now, milliseconds max_age,
    nanoseconds return_time) const {
  const auto sample = this->samples.EarliestSince(now + 2 * return_time +
                                                  kOwnerRunAllowance - max_age);
  if (!sample) return std::nullopt;
  return sample->position;
}

/**
 * The owner reports the age as of when it received the request. The age is
 * negative if the data was complete up to a later time. The request was
 * received after it was sent, so the age now is at most the reported age plus
 * the time since sent_at.
 */
std::optional<milliseconds> AgeProof::Bound(steady_clock::time_point now,
                                            steady_clock::time_point sent_at,
                                            const Answered& answer) const {
  std::optional<milliseconds> age;
  if (answer.age_bound) {
    const milliseconds drift =
        std::chrono::abs(*answer.age_bound) / kClockDriftParts;
    age = *answer.age_bound + drift +
          std::chrono::ceil<milliseconds>(now - sent_at);
  }
  const auto complete = this->samples.CompleteUntil(answer.applied);
  if (complete) {
    const auto own = std::chrono::ceil<milliseconds>(now - *complete);
    age = std::min(own, age.value_or(own));
  }
  if (age) age = std::max(*age, milliseconds(0));
  return age;
}

}  // namespace lacewingferry
