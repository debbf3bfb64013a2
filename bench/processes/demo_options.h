#ifndef BENCH_PROCESSES_DEMO_OPTIONS_H_
#define BENCH_PROCESSES_DEMO_OPTIONS_H_

// Defines ParseDemoOptions, the command line of the demo.

#include <optional>
#include <ostream>

#include "bench/processes/demo.h"

namespace lacewingferry::processes {

/** Reads the command line. Returns none if it only asked for help, which is
 * then written. Throws UserError for a wrong command line. */
std::optional<DemoOptions> ParseDemoOptions(int argc, const char* const* argv,
                                            std::ostream& out);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_DEMO_OPTIONS_H_
