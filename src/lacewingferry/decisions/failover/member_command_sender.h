#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_

// Defines MemberCommander, which has the owners of members run commands.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/decisions/failover/failover_context.h"

namespace lacewingferry {

/**
 * Sends each command to an owner of its member, and to the next owner when no
 * answer comes in time, with growing pauses. The commands are idempotent: a
 * member refuses those of a term that passed, so one that runs twice or late
 * does no harm.
 */
class MemberCommander {
 public:
  /** Gets the member's answer, or one with answered unset after the last
   * attempt. Called once. */
  using ResultHook = std::function<void(
      std::chrono::steady_clock::time_point now, const MemberCommandResult&)>;

  /** The context must outlive the commander. */
  explicit MemberCommander(const FailoverContext& context);

  /** Starts a command; the identifier and the timeout are filled in here. */
  void Start(std::chrono::steady_clock::time_point now, MemberCommand command,
             ResultHook on_result);

  /** Takes an owner's answer. */
  void OnResult(std::chrono::steady_clock::time_point now,
                const MemberCommandResult& result);

  /** Drops a database's commands of terms before the given one. */
  void CancelBefore(const DatabaseId& database, std::uint64_t term);

  /** Drops all commands. */
  void CancelAll() { this->running.clear(); }

  /** Does what is due. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick has to be called next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

 private:
  struct Running {
    MemberCommand command;
    ResultHook on_result;
    std::size_t attempts = 0;
    std::chrono::steady_clock::time_point next_attempt;
  };

  void Attempt(std::chrono::steady_clock::time_point now, Running& running);

  const FailoverContext& context;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, Running> running;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_MEMBER_COMMAND_SENDER_H_
