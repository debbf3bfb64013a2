#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_

// Defines MemberCommandSender, which has members run commands through the
// proxies that own connections to them.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/decisions/failover/failover_context.h"

namespace lacewingferry {

/**
 * Sends each command to a proxy that owns connections to its member, and to the
 * next such proxy when no answer comes in time, with growing pauses. The
 * commands are idempotent and a member refuses those of an earlier term, so one
 * that runs twice or late does no harm.
 */
class MemberCommandSender {
 public:
  /** Receives the member's answer, or a result with answered unset after the
   * last attempt. Called once, unless the command is cancelled. */
  using ResultHook = std::function<void(
      std::chrono::steady_clock::time_point now, const MemberCommandResult&)>;

  /** The context must outlive the sender. */
  explicit MemberCommandSender(const FailoverContext& context);

  /** Starts to send a command; sets its command_id and timeout. */
  void Start(std::chrono::steady_clock::time_point now, MemberCommand command,
             ResultHook on_result);

  /** Processes a proxy's answer. */
  void OnResult(std::chrono::steady_clock::time_point now,
                const MemberCommandResult& result);

  /** Cancels a database's commands of terms before the given one. */
  void CancelBefore(const DatabaseId& database, std::uint64_t term);

  /** Cancels all commands. */
  void CancelAll() { this->running.clear(); }

  /** Runs the work that is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick must be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct RunningCommand {
    MemberCommand command;
    ResultHook on_result;
    std::size_t attempts = 0;
    std::chrono::steady_clock::time_point next_attempt;
  };

  void Attempt(std::chrono::steady_clock::time_point now,
               RunningCommand& running_command);

  const FailoverContext& context;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, RunningCommand> running;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_
