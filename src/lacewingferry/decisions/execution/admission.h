#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_

// Checks with which an executor refuses a request before it runs.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/job.h"
#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/execution/transaction_table.h"
#include "lacewingferry/decisions/limits/load_estimate.h"

namespace lacewingferry {

/** The executor state that decides whether a request outside a transaction
 * may run. */
struct AdmissionState {
  /** This proxy's share of the member's slots. */
  std::uint32_t share = 0;
  bool primary = false;
  std::uint64_t term = 0;
  /** Whether the proxy may now send answers of the primary of this term. */
  bool may_answer = true;
};

/** Refuses a request that this proxy may not run with its present share, role,
 * term and lease. */
std::optional<NotRun> CheckRole(const AdmissionState& state, const Job& job);

/** Refuses a statement that may not run in the open transaction. */
std::optional<NotRun> CheckInTransaction(const OpenTransaction& transaction,
                                         const Job& job);

/** Refuses a request whose expected wait behind the queued requests exceeds
 * its deadline or max_wait. With no request ahead it is never refused. */
std::optional<NotRun> CheckExpectedWait(
    std::chrono::steady_clock::time_point now, const Job& job,
    std::size_t ahead, std::size_t connections, const LoadEstimate& load,
    std::optional<std::chrono::nanoseconds> max_wait);

/** Refuses a dequeued request that can no longer be answered before its
 * deadline, or whose caller has gone. */
std::optional<NotRun> CheckTimeLeft(std::chrono::steady_clock::time_point now,
                                    const Job& job, const LoadEstimate& load);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_
