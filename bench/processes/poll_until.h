#ifndef BENCH_PROCESSES_POLL_UNTIL_H_
#define BENCH_PROCESSES_POLL_UNTIL_H_

// Defines PollUntil, which waits for a condition up to a limit.

#include <chrono>
#include <functional>

namespace lacewingferry::processes {

/** Asks every 50 ms until the condition holds or the time is over. Returns
 * whether it held. */
bool PollUntil(std::chrono::milliseconds limit,
               const std::function<bool()>& condition);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_POLL_UNTIL_H_
