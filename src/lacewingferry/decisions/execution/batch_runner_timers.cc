#include <algorithm>

#include "lacewingferry/decisions/execution/batch_runner.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A connection that has not answered for this long after the deadline of its
 * request, or after the start of another batch, is closed. */
constexpr milliseconds kHungLimit{5000};

}  // namespace

steady_clock::time_point BatchRunner::HangDeadline(const ActiveBatch& running) {
  if (!running.run) return running.since + kHungLimit;
  return std::max(running.since, running.run->GetJob().deadline) + kHungLimit;
}

void BatchRunner::AbandonOverdueRequests(steady_clock::time_point now) {
  std::vector<ConnectionId> hung;
  for (auto& [id, running] : this->active) {
    if (HangDeadline(running) <= now) hung.push_back(id);
    const bool overdue = running.run && running.run->Undecided() &&
                         running.run->GetJob().deadline <= now;
    if (!overdue) continue;
    const TransactionId& transaction =
        running.run->GetJob().request.transaction;
    this->EndTransaction(transaction, running);
    this->SendOutcome(*running.run, running.run->Abandon());
  }
  for (const ConnectionId id : hung) this->CloseAndFail(id);
}

void BatchRunner::OnTick(steady_clock::time_point now) {
  this->pool.ReportUnresponsive(now);
  this->pending.Expire(now);
  this->AbandonOverdueRequests(now);
  this->AbortTransactions(this->transactions.Overdue(now));
  this->pending.Release(now, this->confirmer);
}

void BatchRunner::LimitConnections(std::size_t max_connections) {
  this->pool.SetSlotLimit(max_connections);
  while (this->pool.Size() > max_connections) {
    const auto idle = this->pool.FindIdle();
    this->CloseAndFail(idle ? *idle : this->pool.Newest());
  }
}

void BatchRunner::EndIdleTransaction() {
  const auto held = this->pool.FindPinned();
  if (held)
    this->AbortTransactions({this->transactions.FindOnConnection(*held)});
}

bool BatchRunner::PollOverdue(steady_clock::time_point now) const {
  if (this->status_requested) return true;
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return false;
  const auto overdue = this->polls.Overdue(*oldest, this->load.Confirmation());
  return overdue && *overdue <= now;
}

void BatchRunner::PollIfDue(steady_clock::time_point now) {
  const auto oldest = this->pending.OldestSince();
  if (!oldest) return;
  const auto due = this->polls.Due(*oldest, this->load.Confirmation());
  if (!due || *due > now) return;
  auto id = this->pool.FindIdle();
  if (!id) id = this->pool.FindPinned();
  if (id) this->StartPoll(now, *id);
}

std::optional<steady_clock::time_point> BatchRunner::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->pending.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->transactions.NextDeadline());
  consider(this->pool.NextWakeup());
  for (const auto& [id, running] : this->active) {
    if (running.run && running.run->Undecided()) {
      consider(running.run->GetJob().deadline);
    }
    consider(HangDeadline(running));
  }
  const bool may_send = this->pool.FindIdle() || this->pool.FindPinned();
  if (const auto oldest = this->pending.OldestSince(); oldest && may_send) {
    consider(this->polls.Due(*oldest, this->load.Confirmation()));
  }
  return next;
}

std::size_t BatchRunner::Unfinished() const {
  std::size_t running = 0;
  for (const auto& [id, entry] : this->active) {
    if (entry.run && entry.run->Undecided()) ++running;
  }
  return this->pending.Size() + running;
}

}  // namespace lacewingferry
