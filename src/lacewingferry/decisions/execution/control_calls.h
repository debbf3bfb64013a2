#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_

// Defines ControlCalls, the statements of control (fence, promote, follow,
// status) that wait for a connection of a member.

#include <chrono>
#include <deque>
#include <functional>
#include <optional>

#include "lacewingferry/core/member_statement.h"

namespace lacewingferry {

/** Receives the result of a control statement; none if the member could not be
 * reached in time or rejected the statement. */
using ControlReply = std::function<void(const std::optional<MemberResult>&)>;

/** A statement of control with the time until which it is of use. */
struct ControlCall {
  MemberStatement statement;
  std::chrono::steady_clock::time_point deadline;
  ControlReply reply;
};

/** Holds the statements in the order of their arrival. */
class ControlCalls {
 public:
  void Push(ControlCall call) { this->calls.push_back(std::move(call)); }

  /** Takes the next statement; none if nothing waits. */
  std::optional<ControlCall> Pop();

  /** Answers the statements whose deadline has passed. */
  void Expire(std::chrono::steady_clock::time_point now);

  /** Answers all statements with none. */
  void FailAll();

  /** The earliest deadline; none if nothing waits. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  bool Empty() const { return this->calls.empty(); }

 private:
  std::deque<ControlCall> calls;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_CONTROL_CALLS_H_
