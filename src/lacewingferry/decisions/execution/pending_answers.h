#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_

// Defines PendingAnswers, the answers of a primary that are held back until
// they may leave.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "lacewingferry/core/job.h"
#include "lacewingferry/core/log_position.h"
#include "lacewingferry/decisions/execution/write_confirmer.h"

namespace lacewingferry {

/** An answer, what has to be confirmed before it leaves, and what is said if
 * that never comes. */
struct PendingAnswer {
  Job job;
  Outcome answer;
  /** The newest log entry that the answer depends on. */
  LogPosition position;
  /** The term in which the answer was made. */
  std::uint64_t term = 0;
  Outcome otherwise;
  /** When the wait began. */
  std::chrono::steady_clock::time_point since;
};

/**
 * An answer leaves once a majority holds its position and, at that very
 * moment, the proxy's lease and the term still stand. While only the lease is
 * missing it waits for a renewal.
 */
class PendingAnswers {
 public:
  /** Whether an answer of the term may leave now. */
  using GateHook = std::function<bool(std::chrono::steady_clock::time_point now,
                                      std::uint64_t term)>;
  /** Told how long the answer of a write waited before it left. */
  using WaitedHook = std::function<void(std::chrono::nanoseconds)>;

  PendingAnswers(GateHook gate, WaitedHook waited);

  void Add(PendingAnswer answer);

  /** Sends what may leave now. */
  void Release(std::chrono::steady_clock::time_point now,
               const WriteConfirmer& confirmer);

  /** Gives up the answers of terms up to and including the given one. */
  void EndTerms(std::uint64_t last);

  /** Gives up the answers whose callers no longer wait. */
  void Expire(std::chrono::steady_clock::time_point now);

  /** The earliest deadline; none if nothing waits. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  /** When the oldest wait began; none if nothing waits. */
  std::optional<std::chrono::steady_clock::time_point> OldestSince() const;

  std::size_t Size() const { return this->answers.size(); }

 private:
  template <typename Predicate>
  void GiveUpIf(Predicate predicate);

  GateHook gate;
  WaitedHook waited;
  std::multimap<LogPosition, PendingAnswer> answers;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_
