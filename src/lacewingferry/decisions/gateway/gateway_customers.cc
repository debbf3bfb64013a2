#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/gateway/gateway.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Openings with unknown keys are reported in one event per interval. */
constexpr milliseconds kRefusedKeysInterval{1000};

}  // namespace

CustomerLimitsHooks Gateway::LimitsHooks() {
  CustomerLimitsHooks limits_hooks;
  limits_hooks.request = [this](const PermitRequest& request) {
    this->hooks.request_permits(request);
  };
  limits_hooks.admitted = [this](steady_clock::time_point now,
                                 const RunPtr& run) {
    this->GroupFor(run->database).Submit(now, run);
  };
  limits_hooks.refused = [this](steady_clock::time_point now, const RunPtr& run,
                                const LimitRefusal& refusal) {
    run->ended = true;
    const std::string reason =
        refusal.control_silent
            ? "control doesn't say what the customer's rate limit allows"
            : "the customer's rate limit is used up";
    ClientReply reply =
        FailureReply(StatementError::kBusy,
                     reason + "; retry after " +
                         std::to_string(refusal.retry_after.count()) + " ms");
    reply.elsewhere = refusal.control_silent;
    this->OnStatementEnded(now, run, std::move(reply));
  };
  limits_hooks.events = this->hooks.events;
  return limits_hooks;
}

/** Whether a session that was opened with a key for a customer may go on. */
bool Gateway::HoldsKey(const std::string& host, const std::string& key,
                       const CustomerId& customer) const {
  const Route* route = this->view->configuration.FindRoute(host);
  if (route == nullptr) return true;
  if (!this->view->configuration.NeedsKey(*route)) return customer.Empty();
  const Customer* holder = this->view->FindCustomer(key);
  return holder != nullptr && holder->id == customer;
}

/** Marks the sessions whose keys the present configuration doesn't have. They
 * end as soon as they are idle; a transaction may go on for a while. */
void Gateway::CheckKeys(steady_clock::time_point now) {
  std::map<CustomerId, std::size_t> withdrawn;
  for (const auto& item : this->sessions) {
    ClientSession& session = *item.second;
    if (this->HoldsKey(session.host, session.key, session.customer)) {
      session.key_withdrawn_at.reset();
      const Customer* customer = this->view->FindCustomer(session.key);
      if (customer != nullptr) session.customer_priority = customer->priority;
    } else if (!session.key_withdrawn_at) {
      session.key_withdrawn_at = now;
      ++withdrawn[session.customer];
    }
  }
  const std::size_t relayed_sessions = this->relayed.MarkWithdrawn(
      [this](const std::string& host, const std::string& key,
             const CustomerId& customer) {
        return this->HoldsKey(host, key, customer);
      });
  this->RecordWithdrawnKeys(withdrawn);
  if (withdrawn.empty() && relayed_sessions == 0) return;
  this->keys_withdrawn_at = now;
  this->EndWithdrawnSessions(now);
}

void Gateway::RecordWithdrawnKeys(
    const std::map<CustomerId, std::size_t>& ended) {
  for (const auto& [customer, count] : ended) {
    this->hooks.events.record(Event{
        EventCode::kKeyWithdrawn,
        EventLevel::kInfo,
        {{"customer", customer.Value()}, {"sessions", std::to_string(count)}}});
  }
}

/** Closes sessions whose key was withdrawn, at moments when no statement runs:
 * idle ones at once, those inside a transaction after the grace period, which
 * rolls the transaction back. A session that another proxy relays is closed by
 * that proxy, or here after its next answer. */
void Gateway::EndWithdrawnSessions(steady_clock::time_point now) {
  if (!this->keys_withdrawn_at) return;
  this->CloseIdleSessions([](const ClientSession& session) {
    return session.key_withdrawn_at.has_value();
  });
  const milliseconds grace = this->settings.withdrawn_key_grace;
  std::vector<SessionPtr> overdue;
  for (const auto& item : this->sessions) {
    const SessionPtr& session = item.second;
    const bool late =
        session->key_withdrawn_at && now - *session->key_withdrawn_at >= grace;
    if (late && session->IsIdleIn(TransactionState::kOpen)) {
      overdue.push_back(session);
    }
  }
  for (const SessionPtr& session : overdue) {
    this->GroupFor(session->transaction_database)
        .EndTransaction(now, session->id);
    session->transaction = TransactionState::kFailed;
    session->rollback_unreported = true;
    if (session->origin == SessionOrigin::kProxy) continue;
    this->sessions.erase(session->id);
    this->hooks.close_client(session->id);
  }
  this->relayed.CloseWithdrawn(now - *this->keys_withdrawn_at >= grace);
}

/** Notes an opening with an unknown key. The key itself is never logged. */
void Gateway::RecordRefusedKey(steady_clock::time_point now,
                               const std::string& host) {
  ++this->refused_keys;
  const bool reported =
      this->refused_keys_reported_at &&
      now - *this->refused_keys_reported_at < kRefusedKeysInterval;
  if (reported) return;
  this->hooks.events.record(
      Event{EventCode::kKeyRefused,
            EventLevel::kWarning,
            {{"host", host}, {"refused", std::to_string(this->refused_keys)}}});
  this->refused_keys = 0;
  this->refused_keys_reported_at = now;
}

}  // namespace lacewingferry
