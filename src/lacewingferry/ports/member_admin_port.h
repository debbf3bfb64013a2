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
  /** The member isn't running. */
  kMemberDown,
  /** The call didn't get through, or its answer was lost. */
  kFailed,
};

/** A call for a promotion. */
struct PromotionCall {
  DatabaseId database;
  MemberId member;
  /** Who asks, and the fence that rises when the holder changes. */
  NodeId holder;
  std::uint64_t fence = 0;
};

/** Has members promoted, on the thread of control. */
struct PromotionPort {
  /** Calls `allowed` right before the request is sent, and drops the request
   * unless it holds; calls done once. */
  std::function<void(const PromotionCall&, std::function<bool()> allowed,
                     std::function<void(PromotionResult)> done)>
      promote;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_MEMBER_ADMIN_PORT_H_
