#ifndef BENCH_PROCESSES_DEMO_MAIN_H_
#define BENCH_PROCESSES_DEMO_MAIN_H_

// Defines DemoMain, the main function of programs that check promises, and
// ParseDemoCommandLine, how they read their options.

#include <cxxopts.hpp>
#include <functional>
#include <optional>
#include <ostream>
#include <string>

namespace lacewingferry::processes {

/** Runs a demo, which says whether all promises were kept, or nothing if it
 * only printed help. Reports failures under the program's name. Returns the
 * exit status: 0, 1 for a broken promise, 2 for a wrong command line, 3 for
 * a demo that failed. */
int DemoMain(const std::string& program,
             const std::function<std::optional<bool>()>& run);

/** Reads a command line; none if it only asks for help, which is written.
 * Throws UserError for one that the options don't allow. */
std::optional<cxxopts::ParseResult> ParseDemoCommandLine(
    cxxopts::Options options, int argc, const char* const* argv,
    std::ostream& out);

/** The folder of the program that runs. */
std::string OwnFolder();

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_DEMO_MAIN_H_
