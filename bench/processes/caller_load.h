#ifndef BENCH_PROCESSES_CALLER_LOAD_H_
#define BENCH_PROCESSES_CALLER_LOAD_H_

// Defines CallerLoad, many callers at a time.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bench/processes/caller.h"
#include "bench/processes/cluster_plan.h"
#include "bench/processes/run_record.h"

namespace lacewingferry::processes {

/** How much load there is. It ends with the time or the steps, whichever is
 * over first. */
struct LoadSettings {
  /** Tells the loads on one cluster apart. */
  std::string name = "run";
  std::uint32_t callers = 8;
  std::uint32_t most_steps_each = 2000;
  std::chrono::milliseconds length{10000};
  /** The pause between a caller's steps. */
  std::chrono::milliseconds pause{20};
  std::uint64_t seed = 1;
};

/** Creates the tables of the load. Throws std::runtime_error if a database
 * doesn't take them within the limit. */
void CreateTables(const ClusterPlan& plan, std::chrono::milliseconds limit);

/** Runs callers on a thread each. */
class CallerLoad {
 public:
  CallerLoad(const ClusterPlan& plan, const LoadSettings& settings);
  ~CallerLoad();
  CallerLoad(const CallerLoad&) = delete;
  CallerLoad& operator=(const CallerLoad&) = delete;

  /** Starts the callers. */
  void Start();

  /** Asks the callers to end after their current step. */
  void Stop();

  /** Waits for the callers' end and returns what they noted. */
  RunRecord Finish();

  /** The steps that were made so far. */
  std::uint64_t Steps() const { return this->steps; }

 private:
  void RunCaller(Caller& caller);
  bool Pause(std::chrono::steady_clock::time_point end);

  LoadSettings settings;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  std::atomic<std::uint64_t> steps{0};
  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_CALLER_LOAD_H_
