#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_

// ControlCalls queues the control statements (fence, promote, follow, status)
// that wait for a connection to a member.

#include <chrono>
#include <deque>
#include <functional>
#include <optional>

#include "lacewingferry/core/member_statement.h"

namespace lacewingferry {

/** Receives the result of a control statement; none if the member could not be
 * reached in time or rejected the statement. */
using ControlReply = std::function<void(const std::optional<MemberResult>&)>;

/** A control statement and how long it may wait for a connection. */
struct ControlCall {
  MemberStatement statement;
  std::chrono::steady_clock::time_point deadline;
  ControlReply reply;
};

/** A first-in, first-out queue of control statements. */
class ControlCalls {
 public:
  void Push(ControlCall call) { this->calls.push_back(std::move(call)); }

  /** Removes and returns the next statement; none if the queue is empty. */
  std::optional<ControlCall> Pop();

  /** Removes the statements whose deadline has passed and answers them with no
   * result. */
  void Expire(std::chrono::steady_clock::time_point now);

  /** Removes all statements and answers them with no result. */
  void FailAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  bool Empty() const { return this->calls.empty(); }

 private:
  std::deque<ControlCall> calls;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_
