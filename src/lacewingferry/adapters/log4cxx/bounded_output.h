#ifndef LACEWINGFERRY_ADAPTERS_LOG4CXX_BOUNDED_OUTPUT_H_
#define LACEWINGFERRY_ADAPTERS_LOG4CXX_BOUNDED_OUTPUT_H_

// Defines BoundedOutput, which writes lines to a descriptor without ever
// waiting for its reader.

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace lacewingferry {

/** How much may be written. */
struct OutputLimits {
  /** Lines a second, over a longer time. */
  std::uint32_t lines_per_second = 100;
  /** Lines that may come at once. */
  std::uint32_t burst = 400;
};

/**
 * Writes whole lines of at most 4,096 bytes, the most that a pipe takes at
 * once. A line is left out when the reader is behind or when too many came;
 * the next line that is written tells how many were. Any thread may use it.
 */
class BoundedOutput {
 public:
  using Clock = std::function<std::chrono::steady_clock::time_point()>;

  BoundedOutput(int output_descriptor, OutputLimits output_limits,
                Clock output_clock);

  /** Writes a line; its end is added. Urgent lines are left out only when the
   * reader is behind. */
  void Write(const std::string& line, bool urgent);

  std::uint64_t LeftOut() const;

 private:
  bool TakeToken();
  bool ReaderKeepsUp() const;

  int descriptor;
  OutputLimits limits;
  Clock clock;
  mutable std::mutex mutex;
  double tokens;
  std::chrono::steady_clock::time_point refilled;
  std::uint64_t left_out = 0;
  std::uint64_t untold = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LOG4CXX_BOUNDED_OUTPUT_H_
