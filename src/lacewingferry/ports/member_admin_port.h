#ifndef LACEWINGFERRY_PORTS_MEMBER_ADMIN_PORT_H_
#define LACEWINGFERRY_PORTS_MEMBER_ADMIN_PORT_H_

// Defines the ports through which control commands members and has one of
// them promoted.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "lacewingferry/core/member_request.h"

namespace lacewingferry {

/** What came of a request to a member. */
enum class MemberResponse : std::uint8_t {
  kAnswered,
  /** The member lives, and had no slot or no connection free. */
  kBusy,
  /** Nothing listens at its address, or another member does. */
  kRefused,
  /** No answer came in time, or no connection could be opened. */
  kSilent,
  /** A new connection was taken, and no answer came in time or the connection
   * was closed again: the member may be overloaded. */
  kSlow,
};

/** A member's answer to an administrative request. */
struct AdminAnswer {
  MemberResponse response = MemberResponse::kSilent;
  /** For kAnswered. */
  MemberStatus status;
  /** The member's log as far as it is applied, if it said so. */
  std::optional<LogPosition> applied;
  /** For kAnswered: when the member took the connection that the answer came
   * on. Answers on one connection come from one run of the member. */
  std::chrono::steady_clock::time_point opened_at;
};

/** Commands members, on the thread of control. */
struct MemberAdminPort {
  using Done = std::function<void(const AdminAnswer&)>;

  /** Sends a status, pause, resume or step-down request and calls done once,
   * within the time limit. A request that fails closes the connection, so the
   * next one opens a new one. */
  std::function<void(const LinkTarget&, const MemberRequest&,
                     std::chrono::milliseconds time_limit, Done)>
      ask;
};

/** What came of a call for a promotion. */
enum class PromotionResult : std::uint8_t {
  /** The member will lead soon. */
  kAccepted,
  /** The member isn't running; the call has no effect. */
  kMemberDown,
  /** The call was answered and not taken; it has no effect. */
  kRefused,
  /** No byte of the call was written; it has no effect. */
  kNotSent,
  /** The call was written, and not answered or answered with an error of the
   * platform's own; it may still take effect. */
  kUnknown,
};

/** How the connection of a call ended. */
enum class CallConnection : std::uint8_t {
  /** It was never opened. */
  kNone,
  /** The call was answered on it. */
  kAnswered,
  /** Reset; what wasn't delivered is lost. */
  kReset,
};

/** How a call for a promotion ended. */
struct PromotionOutcome {
  PromotionResult result = PromotionResult::kNotSent;
  CallConnection connection = CallConnection::kNone;
};

/** A call for a promotion. */
struct PromotionCall {
  DatabaseId database;
  MemberId member;
  /** Who asks, and the fence that rises when the holder changes. */
  NodeId holder;
  std::uint64_t fence = 0;
  /** The kernel drops what was written unless the platform has it within this
   * time. */
  std::chrono::milliseconds delivery_limit{0};
};

/** What a call for a promotion asks and tells its caller. */
struct PromotionCallHooks {
  /** Whether the call may be written; asked right before it is. */
  std::function<bool()> allowed;
  /** Whether the caller still holds the office that it calls in. The call is
   * reset soon after it doesn't. */
  std::function<bool()> in_office;
  /** The last byte was handed to the kernel. */
  std::function<void()> written;
  /** Called once, at the end. */
  std::function<void(const PromotionOutcome&)> done;
};

/**
 * Has members promoted, on the thread of control.
 *
 * What was written is bounded from outside the caller's code, so that it
 * doesn't arrive after a partition: the kernel drops it after the delivery
 * limit, also while the process stands still, and with the process's end. Every
 * end but by an answer resets the connection.
 */
struct PromotionPort {
  std::function<void(const PromotionCall&, PromotionCallHooks)> promote;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_MEMBER_ADMIN_PORT_H_
