#include "lacewingferry/decisions/failover/member_command_sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** With the pauses in between, a command is tried for a few seconds. */
constexpr std::size_t kMaxAttempts = 8;

}  // namespace

MemberCommandSender::MemberCommandSender(
    const FailoverContext& failover_context)
    : context(failover_context) {}

void MemberCommandSender::Start(steady_clock::time_point now,
                                MemberCommand command, ResultHook on_result) {
  command.command_id = this->next_id++;
  command.timeout = this->context.settings.max_command_retry_delay;
  RunningCommand& running_command = this->running[command.command_id];
  running_command.command = std::move(command);
  running_command.on_result = std::move(on_result);
  this->Attempt(now, running_command);
}

void MemberCommandSender::Attempt(steady_clock::time_point now,
                                  RunningCommand& running_command) {
  const FailoverSettings& settings = this->context.settings;
  const std::vector<NodeId> owners =
      this->context.hooks.owners(running_command.command.member);
  if (!owners.empty()) {
    this->context.hooks.send(owners[running_command.attempts % owners.size()],
                             running_command.command);
  }
  // The second owner is asked after a short pause, since the first may have
  // failed together with the primary.
  const auto pause =
      settings.command_retry_delay *
      (1 << std::min<std::size_t>(running_command.attempts / 2, 8));
  running_command.next_attempt =
      now + std::min<std::chrono::milliseconds>(
                pause, settings.max_command_retry_delay);
  ++running_command.attempts;
}

void MemberCommandSender::OnResult(steady_clock::time_point now,
                                   const MemberCommandResult& result) {
  const auto found = this->running.find(result.command_id);
  if (found == this->running.end()) return;
  const MemberCommand& command = found->second.command;
  // A control process that led before may have used the same command_id.
  if (command.database != result.database || command.term != result.term ||
      command.kind != result.kind || command.member.id != result.member) {
    return;
  }
  if (!result.answered) return;
  const ResultHook on_result = std::move(found->second.on_result);
  this->running.erase(found);
  on_result(now, result);
}

void MemberCommandSender::CancelBefore(const DatabaseId& database,
                                       std::uint64_t term) {
  for (auto it = this->running.begin(); it != this->running.end();) {
    const MemberCommand& command = it->second.command;
    it = command.database == database && command.term < term
             ? this->running.erase(it)
             : std::next(it);
  }
}

void MemberCommandSender::OnTick(steady_clock::time_point now) {
  std::vector<std::uint64_t> due;
  for (const auto& item : this->running) {
    if (item.second.next_attempt <= now) due.push_back(item.first);
  }
  for (const std::uint64_t id : due) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) continue;
    if (found->second.attempts < kMaxAttempts) {
      this->Attempt(now, found->second);
      continue;
    }
    const RunningCommand last = std::move(found->second);
    this->running.erase(found);
    MemberCommandResult result;
    result.command_id = id;
    result.database = last.command.database;
    result.member = last.command.member.id;
    result.kind = last.command.kind;
    result.term = last.command.term;
    last.on_result(now, result);
  }
}

std::optional<steady_clock::time_point> MemberCommandSender::NextWakeup()
    const {
  std::optional<steady_clock::time_point> next;
  for (const auto& item : this->running) {
    if (!next || item.second.next_attempt < *next) {
      next = item.second.next_attempt;
    }
  }
  return next;
}

}  // namespace lacewingferry
