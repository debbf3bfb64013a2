#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_

// PendingAnswers holds back the answers of a primary until they may be sent.

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

/** An answer, the position that has to be confirmed before it is sent, and the
 * fallback if that does not happen. */
struct PendingAnswer {
  Job job;
  Outcome answer;
  /** The newest log entry that the answer depends on. */
  LogPosition position;
  /** The term in which the request ran. */
  std::uint64_t term = 0;
  Outcome fallback;
  /** When the wait began. */
  std::chrono::steady_clock::time_point since;
};

/**
 * An answer is sent once a majority holds its position and, at that moment, the
 * proxy's lease and the term are still valid. If only the lease has ended, the
 * answer waits for its renewal.
 */
class PendingAnswers {
 public:
  /** Whether an answer of the term may be sent now. */
  using MayAnswerHook = std::function<bool(
      std::chrono::steady_clock::time_point now, std::uint64_t term)>;
  /** Receives how long the answer of a write was held before it was sent. */
  using WaitTimeHook = std::function<void(std::chrono::nanoseconds)>;

  PendingAnswers(MayAnswerHook may_answer, WaitTimeHook report_wait_time);

  void Add(PendingAnswer answer);

  /** Sends the answers that are confirmed and allowed now. */
  void Release(std::chrono::steady_clock::time_point now,
               const WriteConfirmer& confirmer);

  /** Sends the fallback for answers of terms up to and including last. */
  void EndTerms(std::uint64_t last);

  /** Sends the fallback for answers whose deadline has passed. */
  void Expire(std::chrono::steady_clock::time_point now);

  /** The earliest deadline; none if no answer is pending. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  /** When the oldest wait began; none if no answer is pending. */
  std::optional<std::chrono::steady_clock::time_point> OldestSince() const;

  std::size_t Size() const { return this->answers.size(); }

 private:
  template <typename Predicate>
  void SendFallbackIf(Predicate predicate);

  MayAnswerHook may_answer;
  WaitTimeHook report_wait_time;
  std::multimap<LogPosition, PendingAnswer> answers;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_PENDING_ANSWERS_H_
