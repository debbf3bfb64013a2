#ifndef BENCH_PROCESSES_DEMO_H_
#define BENCH_PROCESSES_DEMO_H_

// Defines RunDemo, a run of mixed load with failures on a local cluster.

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

namespace lacewingferry::processes {

/** What the demo is asked for. */
struct DemoOptions {
  std::string deployment = "kraanwater";
  /** The folder of the programs. */
  std::string binary_folder;
  std::uint32_t databases = 1;
  std::uint32_t callers = 12;
  std::chrono::milliseconds length{30000};
  std::uint64_t seed = 1;
  /** Whether to leave the cluster running until SIGINT. */
  bool keep = false;
};

/** Runs the load, kills a primary and a proxy, and writes the verdict. Returns
 * whether all promises were kept. Throws std::runtime_error if the cluster
 * can't be started or read back. */
bool RunDemo(const DemoOptions& options, std::ostream& out);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_DEMO_H_
