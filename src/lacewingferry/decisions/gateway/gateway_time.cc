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

/** How often idle transactions and empty pools are looked at. */
constexpr milliseconds kSweepInterval{250};

}  // namespace

void Gateway::EndIdleTransactions(steady_clock::time_point now) {
  if (!this->view) return;
  const milliseconds limit = this->view->configuration.transaction_idle;
  if (limit.count() > 0) this->EndResting(now, limit);
}

/** Rolls back the transactions that rest for longer than a time; their next
 * statements are told. */
void Gateway::EndResting(steady_clock::time_point now, milliseconds longest) {
  for (const auto& item : this->sessions) {
    ClientSession& session = *item.second;
    const bool rests = session.RestsIn(TransactionState::kOpen);
    if (!rests || now - session.rests_since <= longest) continue;
    this->GroupFor(session.transaction_database)
        .EndTransaction(now, session.id);
    session.transaction = TransactionState::kFailed;
    session.lost = true;
  }
}

steady_clock::time_point Gateway::NextWakeup(
    steady_clock::time_point now) const {
  steady_clock::time_point next = now + kSweepInterval;
  for (const auto& item : this->groups) {
    const auto due = item.second->NextWakeup(now);
    if (due) next = std::min(next, *due);
  }
  for (const Opening& opening : this->openings) {
    next = std::min(next, opening.limit);
  }
  return next;
}

void Gateway::StartDraining(steady_clock::time_point now) {
  this->draining = true;
  this->RefuseLate(now);
  this->relayed.StartDraining();
  const std::size_t closed =
      this->EndAtRest([](const ClientSession&) { return true; });
  this->hooks.events.record(
      Event{EventCode::kSessionsClosed,
            EventLevel::kInfo,
            {{"closed", std::to_string(closed)},
             {"left", std::to_string(this->SessionCount())}}});
}

void Gateway::EndTransactions(steady_clock::time_point now) {
  this->EndResting(now, milliseconds(-1));
  this->relayed.EndTransactions();
}

void Gateway::OnRelayLost(const std::string& host, const NodeId& owner) {
  this->hooks.events.record(Event{EventCode::kRelayLost,
                                  EventLevel::kWarning,
                                  {{"host", host}, {"owner", owner.Value()}}});
}

void Gateway::OnRelayFailed(ClientId client, const std::string& host) {
  this->relayed.Remove(client);
  this->hooks.events.record(
      Event{EventCode::kSessionNotRelayed,
            EventLevel::kWarning,
            {{"host", host},
             {"reason", "no proxy that holds its connections takes it"}}});
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
  return gauges;
}

void Gateway::Record(steady_clock::time_point now, const RunPtr& run,
                     const ClientReply& reply) {
  const auto event = RecordOf(now, *run, reply);
  if (event) this->hooks.events.record(*event);
}

}  // namespace lacewingferry
