#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/gateway/gateway.h"
#include "lacewingferry/decisions/gateway/statement_record.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How often idle transactions and member connections are checked. */
constexpr milliseconds kSweepInterval{250};

}  // namespace

void Gateway::ExpireIdleTransactions(steady_clock::time_point now) {
  if (!this->view) return;
  const milliseconds limit = this->view->configuration.transaction_idle;
  if (limit.count() > 0) this->RollBackIdleTransactions(now, limit);
}

/** Rolls back transactions that have been idle for longer than max_idle. Their
 * next statements are answered with an error. */
void Gateway::RollBackIdleTransactions(steady_clock::time_point now,
                                       milliseconds max_idle) {
  for (const auto& item : this->sessions) {
    ClientSession& session = *item.second;
    const bool is_idle = session.IsIdleIn(TransactionState::kOpen);
    if (!is_idle || now - session.idle_since <= max_idle) continue;
    this->GroupFor(session.transaction_database)
        .EndTransaction(now, session.id);
    session.transaction = TransactionState::kFailed;
    session.rollback_unreported = true;
  }
}

steady_clock::time_point Gateway::NextWakeup(
    steady_clock::time_point now) const {
  steady_clock::time_point next =
      std::min(now + kSweepInterval, this->limits.NextWakeup(now));
  for (const auto& item : this->groups) {
    const auto due = item.second->NextWakeup(now);
    if (due) next = std::min(next, *due);
  }
  for (const PendingOpening& pending : this->pending_openings) {
    next = std::min(next, pending.deadline);
  }
  return next;
}

void Gateway::StartDraining(steady_clock::time_point now) {
  this->draining = true;
  this->RefuseExpiredOpenings(now);
  this->relayed.StartDraining();
  const std::size_t closed =
      this->CloseIdleSessions([](const ClientSession&) { return true; });
  this->hooks.events.record(
      Event{EventCode::kSessionsClosed,
            EventLevel::kInfo,
            {{"closed", std::to_string(closed)},
             {"left", std::to_string(this->SessionCount())}}});
}

void Gateway::EndTransactions(steady_clock::time_point now) {
  this->RollBackIdleTransactions(now, milliseconds(-1));
  this->relayed.EndTransactions();
  this->ServeFreed(now);
}

void Gateway::OnRelayLost(const std::string& host, const NodeId& owner) {
  this->hooks.events.record(Event{EventCode::kRelayLost,
                                  EventLevel::kWarning,
                                  {{"host", host}, {"owner", owner.Value()}}});
}

void Gateway::OnRelayFailed(ClientId client, const std::string& host) {
  this->relayed.Remove(client);
  this->hooks.events.record(Event{
      EventCode::kSessionNotRelayed,
      EventLevel::kWarning,
      {{"host", host},
       {"reason", "no proxy that owns the database accepted the session"}}});
}

std::vector<Gauge> Gateway::Gauges(steady_clock::time_point now) const {
  std::vector<Gauge> gauges = {
      {"ferry_sessions", "", static_cast<double>(this->sessions.size())},
      {"ferry_sessions_relayed", "",
       static_cast<double>(this->relayed.Count())}};
  if (this->view) {
    gauges.push_back({"ferry_configuration_version", "",
                      static_cast<double>(this->view->configuration.version)});
  }
  for (const auto& [database, group] : this->groups) {
    group->AddGauges(now, database.Value(), &gauges);
  }
  this->limits.AddGauges(&gauges);
  return gauges;
}

void Gateway::RecordEvent(steady_clock::time_point now, const RunPtr& run,
                          const ClientReply& reply) {
  const auto event = MakeStatementEvent(now, *run, reply);
  if (event) this->hooks.events.record(*event);
}

}  // namespace lacewingferry
