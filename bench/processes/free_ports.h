#ifndef BENCH_PROCESSES_FREE_PORTS_H_
#define BENCH_PROCESSES_FREE_PORTS_H_

// Defines FreePorts, which finds ports that processes of a test may listen at.

#include <cstdint>
#include <random>
#include <set>

namespace lacewingferry::processes {

/** Gives ports of 127.0.0.1 that nothing listens at, each once. They lie below
 * the ports that the system gives to outgoing connections. */
class FreePorts {
 public:
  FreePorts();

  /** Throws std::runtime_error if no free port is found. */
  std::uint16_t Take();

 private:
  std::mt19937 random;
  std::set<std::uint16_t> taken;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_FREE_PORTS_H_
