#ifndef BENCH_MODEL_SLOW_MEMBER_TRIAL_H_
#define BENCH_MODEL_SLOW_MEMBER_TRIAL_H_

// Defines RunSlowMemberTrial, readers and writers before a database of which a
// member is slow, fails or returns, in virtual time.

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "bench/model/fleet.h"
#include "bench/model/read_workload.h"

namespace lacewingferry::model {

/** What befalls the members. It begins when the callers have run for
 * kTrialCalm. */
struct SlowMemberOptions {
  FleetOptions fleet;
  ReadWorkloadOptions workload;
  /** The time that a statement of a caller holds its connection. */
  std::chrono::milliseconds service{5};
  /** How many times as long a member takes, by the time since the trouble
   * began, which is below zero before; empty for no slow member. */
  std::function<double(const MemberId&, std::chrono::nanoseconds since)>
      slowness;
  /** What else happens; called when the trouble begins. */
  std::function<void(EventQueue&, Fleet&)> trouble;
  std::chrono::milliseconds length{20000};
  std::uint64_t seed = 1;
};

/** The callers run so long before the trouble begins. */
constexpr std::chrono::seconds kTrialCalm{10};

/** Reads that were sent within one second. */
struct ReadSecond {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::chrono::microseconds p99{0};
};

/** What a trial gave. */
struct SlowMemberResult {
  ReadWorkloadResult workload;
  /** Second by second from the calm on. */
  std::vector<ReadSecond> seconds;
  /** Statements of callers that reached members, and messages that carried
   * one to an owner, from the beginning of the trouble on. */
  std::uint64_t attempts = 0;
  std::uint64_t forwards = 0;
  /** Requests of callers in the same time. */
  std::uint64_t requests = 0;

  /** The greatest p99, and the least part answered, of some seconds. */
  std::chrono::microseconds WorstP99(std::size_t from, std::size_t to) const;
  double LeastAnswered(std::size_t from, std::size_t to) const;
};

/** Both deployments' sizes with the callers of the users' brief. */
SlowMemberOptions KraanwaterTrial();
SlowMemberOptions WanjiruTrial();

/** Equal options give equal results. */
SlowMemberResult RunSlowMemberTrial(const SlowMemberOptions& options);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_SLOW_MEMBER_TRIAL_H_
