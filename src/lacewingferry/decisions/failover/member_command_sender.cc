#include "lacewingferry/decisions/failover/member_command_sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** With the pauses in between, a member is tried for some seconds. */
constexpr std::size_t kMaxAttempts = 8;

}  // namespace

MemberCommander::MemberCommander(const FailoverContext& failover_context)
    : context(failover_context) {}

void MemberCommander::Start(steady_clock::time_point now, MemberCommand command,
                            ResultHook on_result) {
  command.command_id = this->next_id++;
  command.timeout = this->context.settings.command_retry_limit;
  Running& entry = this->running[command.command_id];
  entry.command = std::move(command);
  entry.on_result = std::move(on_result);
  this->Attempt(now, entry);
}

void MemberCommander::Attempt(steady_clock::time_point now, Running& entry) {
  const FailoverSettings& settings = this->context.settings;
  const std::vector<NodeId> owners =
      this->context.hooks.owners(entry.command.member);
  if (!owners.empty()) {
    this->context.hooks.send(owners[entry.attempts % owners.size()],
                             entry.command);
  }
  // The first two attempts follow each other closely: the first owner may
  // have died with the primary.
  const auto pause = settings.command_retry *
                     (1 << std::min<std::size_t>(entry.attempts / 2, 8));
  entry.next_attempt = now + std::min<std::chrono::milliseconds>(
                                 pause, settings.command_retry_limit);
  ++entry.attempts;
}

void MemberCommander::OnResult(steady_clock::time_point now,
                               const MemberCommandResult& result) {
  const auto found = this->running.find(result.command_id);
  if (found == this->running.end()) return;
  const MemberCommand& command = found->second.command;
  // A former leader's process may have given out the same identifier.
  if (command.database != result.database || command.term != result.term ||
      command.kind != result.kind || command.member.id != result.member) {
    return;
  }
  if (!result.answered) return;
  const ResultHook on_result = std::move(found->second.on_result);
  this->running.erase(found);
  on_result(now, result);
}

void MemberCommander::CancelBefore(const DatabaseId& database,
                                   std::uint64_t term) {
  for (auto it = this->running.begin(); it != this->running.end();) {
    const MemberCommand& command = it->second.command;
    it = command.database == database && command.term < term
             ? this->running.erase(it)
             : std::next(it);
  }
}

void MemberCommander::OnTick(steady_clock::time_point now) {
  std::vector<std::uint64_t> due;
  for (const auto& entry : this->running) {
    if (entry.second.next_attempt <= now) due.push_back(entry.first);
  }
  for (const std::uint64_t id : due) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) continue;
    if (found->second.attempts < kMaxAttempts) {
      this->Attempt(now, found->second);
      continue;
    }
    const Running last = std::move(found->second);
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

std::optional<steady_clock::time_point> MemberCommander::NextWakeup() const {
  std::optional<steady_clock::time_point> next;
  for (const auto& entry : this->running) {
    if (!next || entry.second.next_attempt < *next) {
      next = entry.second.next_attempt;
    }
  }
  return next;
}

}  // namespace lacewingferry
