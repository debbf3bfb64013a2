#include "bench/model/lag_process.h"

#include <cstddef>
#include <random>

namespace lacewingferry::model {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

LagProcess::LagProcess(std::uint64_t seed, milliseconds most,
                       milliseconds step_length, milliseconds span)
    : step(step_length) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::int64_t> draw(0, most.count());
  const std::int64_t count = span / step_length + 2;
  for (std::int64_t i = 0; i < count; ++i) {
    this->points.emplace_back(milliseconds(draw(random)));
  }
}

nanoseconds LagProcess::At(nanoseconds since_start) const {
  const auto place = static_cast<std::size_t>(since_start / this->step);
  if (place + 1 >= this->points.size()) return this->points.back();
  const double part = static_cast<double>((since_start % this->step).count()) /
                      static_cast<double>(this->step.count());
  const nanoseconds from = this->points[place];
  const nanoseconds to = this->points[place + 1];
  return from + nanoseconds(static_cast<std::int64_t>(
                    static_cast<double>((to - from).count()) * part));
}

}  // namespace lacewingferry::model
