#ifndef STANDIN_PLATFORM_PLATFORM_DEMO_H_
#define STANDIN_PLATFORM_PLATFORM_DEMO_H_

// Defines RunPlatformDemo, a run of load with failures on the programs of the
// platform before its stand-in.

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace lacewingferry::standin {

/** What the demo is asked for. */
struct PlatformDemoOptions {
  /** The folder of the programs. */
  std::string programs;
  std::uint32_t callers = 8;
  std::chrono::milliseconds length{20000};
};

/** Reads the command line; none if it only asked for help, which is written.
 * Throws UserError for options that aren't known or out of range. */
std::optional<PlatformDemoOptions> ParsePlatformDemoOptions(
    int argc, const char* const* argv, std::ostream& out);

/** Runs the load, stops the primary, kills a proxy and all of control, and
 * writes the verdict. Returns whether all promises were kept. Throws
 * std::runtime_error if the programs can't be started. */
bool RunPlatformDemo(const PlatformDemoOptions& options, std::ostream& out);

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_DEMO_H_
