#include <algorithm>

#include "lacewingferry/decisions/execution/member_runs.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A connection that is silent for this long after its batch was of use is
 * closed. */
constexpr milliseconds kHungLimit{5000};

}  // namespace

steady_clock::time_point MemberRuns::HungAt(const Active& running) {
  if (!running.run) return running.since + kHungLimit;
  return std::max(running.since, running.run->TheJob().deadline) + kHungLimit;
}

void MemberRuns::AbandonOverdue(steady_clock::time_point now) {
  std::vector<ConnectionId> hung;
  for (auto& [id, running] : this->active) {
    if (HungAt(running) <= now) hung.push_back(id);
    const bool overdue = running.run && running.run->Undecided() &&
                         running.run->TheJob().deadline <= now;
    if (!overdue) continue;
    const TransactionId& transaction =
        running.run->TheJob().request.transaction;
    this->EndTransaction(transaction, running);
    this->Tell(*running.run, running.run->Abandon());
  }
  for (const ConnectionId id : hung) this->CloseInDoubt(id);
}

void MemberRuns::OnTick(steady_clock::time_point now) {
  this->pool.ObserveSilence(now);
  this->pending.Expire(now);
  this->AbandonOverdue(now);
  this->AbortTransactions(this->transactions.Overdue(now));
  this->pending.Release(now, this->confirmer);
}

void MemberRuns::LimitConnections(std::size_t most) {
  this->pool.SetCeiling(most);
  while (this->pool.Size() > most) {
    const auto idle = this->pool.FindIdle();
    this->CloseInDoubt(idle ? *idle : this->pool.Newest());
  }
}

void MemberRuns::EndIdleTransaction() {
  const auto held = this->pool.FindPinned();
  if (held) this->AbortTransactions({this->transactions.IdOn(*held)});
}

bool MemberRuns::PollOverdue(steady_clock::time_point now) const {
  if (this->status_wanted) return true;
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return false;
  const auto overdue = this->polls.Overdue(*oldest, this->load.Confirmation());
  return overdue && *overdue <= now;
}

void MemberRuns::PollIfDue(steady_clock::time_point now) {
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return;
  const auto due = this->polls.Due(*oldest, this->load.Confirmation());
  if (!due || *due > now) return;
  auto id = this->pool.FindIdle();
  if (!id) id = this->pool.FindPinned();
  if (id) this->StartPoll(now, *id);
}

std::optional<steady_clock::time_point> MemberRuns::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->pending.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->transactions.NextDeadline());
  consider(this->pool.NextWakeup());
  for (const auto& [id, running] : this->active) {
    if (running.run && running.run->Undecided()) {
      consider(running.run->TheJob().deadline);
    }
    consider(HungAt(running));
  }
  const bool may_send = this->pool.FindIdle() || this->pool.FindPinned();
  if (const auto oldest = this->pending.OldestSince(); oldest && may_send) {
    consider(this->polls.Due(*oldest, this->load.Confirmation()));
  }
  return next;
}

std::size_t MemberRuns::Unfinished() const {
  std::size_t running = 0;
  for (const auto& [id, entry] : this->active) {
    if (entry.run && entry.run->Undecided()) ++running;
  }
  return this->pending.Size() + running;
}

}  // namespace lacewingferry
