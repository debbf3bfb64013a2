#include "lacewingferry/decisions/freshness/primary_samples.h"

#include <algorithm>
#include <cstddef>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Samples closer together than this prove hardly more than one of them. */
constexpr milliseconds kMinSpacing{10};
/** At kMinSpacing, enough for a replica that lags by 20 s. */
constexpr std::size_t kMaxSamples = 2048;

}  // namespace

void PrimarySamples::Add(steady_clock::time_point asked_at,
                         const LogPosition& position) {
  // A sample is redundant beside one that was requested later and has no higher
  // position: the later one proves more for the same data.
  const auto later =
      std::lower_bound(this->samples.begin(), this->samples.end(), asked_at,
                       [](const Sample& sample, steady_clock::time_point time) {
                         return sample.asked_at < time;
                       });
  if (later != this->samples.end() && later->position <= position) return;
  auto first = later;
  while (first != this->samples.begin() &&
         std::prev(first)->position >= position) {
    --first;
  }
  const auto place = this->samples.erase(first, later);
  // A sample between two that are close together is redundant as well.
  const bool between =
      place != this->samples.begin() && place != this->samples.end() &&
      place->asked_at - std::prev(place)->asked_at < kMinSpacing;
  if (between) return;
  const bool crowded = place != this->samples.begin() &&
                       place == this->samples.end() &&
                       this->samples.size() > 1 &&
                       asked_at - std::prev(place, 2)->asked_at < kMinSpacing;
  if (crowded) this->samples.pop_back();
  const auto end = crowded ? this->samples.end() : place;
  this->samples.insert(end, Sample{asked_at, position});
  if (this->samples.size() > kMaxSamples) this->samples.pop_front();
}

std::optional<steady_clock::time_point> PrimarySamples::CompleteUntil(
    const LogPosition& position) const {
  const auto above =
      std::upper_bound(this->samples.begin(), this->samples.end(), position,
                       [](const LogPosition& wanted, const Sample& sample) {
                         return wanted < sample.position;
                       });
  if (above == this->samples.begin()) return std::nullopt;
  return std::prev(above)->asked_at;
}

std::optional<PrimarySamples::Sample> PrimarySamples::EarliestSince(
    steady_clock::time_point time) const {
  const auto found = std::lower_bound(
      this->samples.begin(), this->samples.end(), time,
      [](const Sample& sample, steady_clock::time_point wanted) {
        return sample.asked_at < wanted;
      });
  if (found == this->samples.end()) return std::nullopt;
  return *found;
}

}  // namespace lacewingferry
