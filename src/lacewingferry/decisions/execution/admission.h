#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_

// Defines the checks by which an executor refuses a request before it runs.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "lacewingferry/core/job.h"
#include "lacewingferry/core/outcome.h"
#include "lacewingferry/decisions/execution/transaction_table.h"
#include "lacewingferry/decisions/limits/load_estimate.h"

namespace lacewingferry {

/** What an executor may do for requests outside a transaction at present. */
struct AdmissionState {
  /** This proxy's share of the member's slots. */
  std::uint32_t share = 0;
  bool primary = false;
  std::uint64_t term = 0;
  /** Whether an answer of the term's primary may leave now. */
  bool may_answer = true;
};

/** Refuses a request that this owner may not run now. */
std::optional<NotRun> CheckRole(const AdmissionState& state, const Job& job);

/** Refuses a statement that may not run in the open transaction. */
std::optional<NotRun> CheckInTransaction(const OpenTransaction& transaction,
                                         const Job& job);

/** Refuses a request that can't be answered in time behind the others that
 * wait, or that would wait longer than most_wait. Where none waits it is
 * tried. */
std::optional<NotRun> CheckExpectedWait(
    std::chrono::steady_clock::time_point now, const Job& job,
    std::size_t ahead, std::size_t connections, const LoadEstimate& load,
    std::optional<std::chrono::nanoseconds> most_wait);

/** Refuses a request whose turn has come too late to answer it in time. */
std::optional<NotRun> CheckTimeLeft(std::chrono::steady_clock::time_point now,
                                    const Job& job, const LoadEstimate& load);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_ADMISSION_H_
