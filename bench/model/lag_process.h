#ifndef BENCH_MODEL_LAG_PROCESS_H_
#define BENCH_MODEL_LAG_PROCESS_H_

// Defines LagProcess, how far a replica's reads are behind over time.

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingferry::model {

/** A lag that moves in straight lines between points drawn at random. */
class LagProcess {
 public:
  /** Draws points between zero and most, one each step, for a span of time. */
  LagProcess(std::uint64_t seed, std::chrono::milliseconds most,
             std::chrono::milliseconds step, std::chrono::milliseconds span);

  /** The lag at a time since the start. */
  std::chrono::nanoseconds At(std::chrono::nanoseconds since_start) const;

 private:
  std::chrono::nanoseconds step;
  std::vector<std::chrono::nanoseconds> points;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_LAG_PROCESS_H_
