#include "lacewingferry/decisions/gateway/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The number of statements that a client may send ahead of its answers. A
 * client that exceeds it is disconnected. */
constexpr std::size_t kMaxQueued = 64;

bool BeginsTransaction(const ClientStatement& statement) {
  return statement.kind == StatementKind::kBegin ||
         statement.kind == StatementKind::kBeginReadOnly;
}

bool EndsTransaction(const ClientStatement& statement) {
  return statement.kind == StatementKind::kCommit ||
         statement.kind == StatementKind::kRollback;
}

}  // namespace

Gateway::Gateway(GatewayHooks gateway_hooks, GatewaySettings gateway_settings)
    : hooks(std::move(gateway_hooks)),
      settings(std::move(gateway_settings)),
      relayed([this](ClientId client) { this->hooks.close_client(client); }),
      limits(this->LimitsHooks()) {}

GroupTraffic& Gateway::GroupFor(const DatabaseId& database) {
  auto& group = this->groups[database];
  if (group) return *group;
  GroupTrafficHooks group_hooks;
  group_hooks.ended = [this](steady_clock::time_point now, const RunPtr& run,
                             ClientReply reply) {
    this->OnStatementEnded(now, run, std::move(reply));
  };
  group_hooks.transaction_lost = [this](ClientId client) {
    this->OnTransactionLost(client);
  };
  group_hooks.next_link = [this] { return ++this->last_link; };
  group = std::make_unique<GroupTraffic>(database, this->hooks, this->settings,
                                         std::move(group_hooks));
  return *group;
}

GroupTraffic* Gateway::GroupOfLink(LinkId link) {
  for (const auto& item : this->groups) {
    if (item.second->HasLink(link)) return item.second.get();
  }
  return nullptr;
}

void Gateway::SetView(steady_clock::time_point now, GatewayViewPtr next) {
  const bool reconfigured = !this->view || this->view->configuration.version !=
                                               next->configuration.version;
  this->view = std::move(next);
  for (const auto& [database, group] : this->view->groups) {
    this->GroupFor(database).SetView(now, group);
  }
  if (reconfigured) {
    this->limits.SetCustomers(now, this->view->configuration.customers);
    this->CheckKeys(now);
  }
  this->CloseSessionsNotOwned();
  this->AdmitPendingOpenings(now);
  this->ServeFreed(now);
}

/** Ends an input: sends what waits for the connections that it freed. */
void Gateway::ServeFreed(steady_clock::time_point now) {
  for (const auto& item : this->groups) item.second->ServeFreed(now);
}

void Gateway::SetLease(const DatabaseId& database, std::uint64_t term,
                       steady_clock::time_point until) {
  this->GroupFor(database).SetLease(term, until);
}

void Gateway::OnPosition(const DatabaseId& database,
                         steady_clock::time_point requested_at,
                         const LogPosition& position) {
  this->GroupFor(database).OnPosition(requested_at, position);
}

void Gateway::Recall(steady_clock::time_point now, const DatabaseId& database,
                     std::uint64_t before_term, milliseconds grace_period) {
  this->GroupFor(database).Recall(now, before_term, grace_period);
}

void Gateway::OnStatement(steady_clock::time_point now, ClientId client,
                          const ClientStatement& statement) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  if (session->running == nullptr) {
    this->Serve(now, session, statement);
    this->ServeFreed(now);
    return;
  }
  if (session->queued.size() < kMaxQueued) {
    session->queued.push_back(statement);
    return;
  }
  this->OnClientGone(now, client);
  this->hooks.close_client(client);
}

void Gateway::Serve(steady_clock::time_point now, const SessionPtr& session,
                    const ClientStatement& statement) {
  if (session->transaction == TransactionState::kFailed &&
      this->ServeInFailedTransaction(now, session, statement)) {
    return;
  }
  if (!this->IsAllowedInTransaction(*session, statement)) {
    this->Answer(now, session,
                 FailureReply(StatementError::kMalformed,
                              "the statement doesn't fit the transaction"));
    return;
  }
  if (statement.kind == StatementKind::kRollback) {
    this->Rollback(now, session);
    return;
  }
  const auto local = session->state->ServeLocally(statement);
  if (local) {
    this->Answer(now, session, *local);
    return;
  }
  this->Run(now, session, statement);
}

/** In a failed transaction only COMMIT and ROLLBACK are accepted. Returns
 * whether the statement was answered. */
bool Gateway::ServeInFailedTransaction(steady_clock::time_point now,
                                       const SessionPtr& session,
                                       const ClientStatement& statement) {
  if (!EndsTransaction(statement)) {
    const bool reported = !std::exchange(session->rollback_unreported, false);
    this->Answer(now, session,
                 reported ? FailureReply(StatementError::kMalformed,
                                         "the transaction has failed")
                          : FailureReply(StatementError::kAborted,
                                         "the transaction was rolled back"));
    return true;
  }
  session->rollback_unreported = false;
  session->transaction = TransactionState::kIdle;
  if (statement.kind == StatementKind::kRollback) {
    this->Answer(now, session, ClientReply());
  } else {
    this->Answer(now, session,
                 FailureReply(StatementError::kAborted,
                              "the transaction was rolled back"));
  }
  return true;
}

bool Gateway::IsAllowedInTransaction(const ClientSession& session,
                                     const ClientStatement& statement) const {
  const bool open = session.transaction == TransactionState::kOpen;
  if (BeginsTransaction(statement)) return !open;
  if (EndsTransaction(statement)) return open;
  return true;
}

void Gateway::Rollback(steady_clock::time_point now,
                       const SessionPtr& session) {
  session->transaction = TransactionState::kIdle;
  this->GroupFor(session->transaction_database)
      .EndTransaction(now, session->id);
  this->Answer(now, session, ClientReply());
}

void Gateway::Run(steady_clock::time_point now, const SessionPtr& session,
                  const ClientStatement& statement) {
  const bool open = session->transaction == TransactionState::kOpen;
  if (!open && session->key_withdrawn_at) {
    this->Answer(now, session,
                 FailureReply(StatementError::kUnauthorized,
                              "the customer's key was withdrawn"));
    return;
  }
  if (!open) {
    const Route* route = this->view->configuration.FindRoute(session->host);
    if (route == nullptr) {
      this->Answer(now, session,
                   FailureReply(StatementError::kNoDatabase,
                                "no route has this database name any more"));
      return;
    }
    session->route = *route;
    if (!this->OwnsGroup(route->database)) {
      ClientReply refusal = FailureReply(StatementError::kBusy,
                                         "another proxy serves this database");
      refusal.elsewhere = true;
      this->Answer(now, session, refusal);
      return;
    }
  }
  const RunPtr run = this->CreateRun(now, session, statement);
  session->running = run;
  if (BeginsTransaction(statement)) {
    session->transaction_wrote = false;
    session->transaction_database = session->route.database;
  }
  if (open && run->writes && !run->commits) session->transaction_wrote = true;
  if (open) {
    this->GroupFor(run->database).Submit(now, run);
  } else {
    this->limits.Submit(now, run);
  }
}

RunPtr Gateway::CreateRun(steady_clock::time_point now,
                          const SessionPtr& session,
                          const ClientStatement& statement) const {
  auto run = std::make_shared<StatementRun>();
  const Route& route = session->route;
  run->client = session->id;
  run->statement = statement;
  run->database = route.database;
  run->customer = session->customer;
  run->customer_priority = session->customer_priority;
  run->latency_objective = route.latency_objective;
  run->max_staleness = route.max_staleness;
  run->consistency = route.consistency;
  run->priority = route.priority;
  run->session = session->state;
  const auto committed = session->committed.find(route.database);
  if (committed != session->committed.end()) {
    run->session_position = committed->second;
  }
  run->arrived = now;
  run->deadline = now + route.statement_timeout;
  run->in_transaction = session->transaction == TransactionState::kOpen;
  const bool executes_write = statement.kind == StatementKind::kExecute &&
                              session->state->FindPrepared(statement)->writes;
  const bool commits_writes =
      statement.kind == StatementKind::kCommit && session->transaction_wrote;
  run->writes = statement.kind == StatementKind::kWrite || executes_write ||
                commits_writes;
  run->commits = commits_writes || (run->writes && !run->in_transaction);
  return run;
}

void Gateway::OnStatementEnded(steady_clock::time_point now, const RunPtr& run,
                               ClientReply reply) {
  if (reply.error && run->attempts == 0) this->limits.GiveBack(*run);
  this->hooks.ended(*run, reply, now - run->arrived);
  this->RecordEvent(now, run, reply);
  const auto found = this->sessions.find(run->client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  session->running.reset();
  this->UpdateTransactionState(now, session, run, reply);
  this->Answer(now, session, reply);
}

/** Updates the session's transaction state and newest commit after a
 * statement. */
void Gateway::UpdateTransactionState(steady_clock::time_point now,
                                     const SessionPtr& session,
                                     const RunPtr& run,
                                     const ClientReply& reply) {
  session->transaction = reply.state;
  session->idle_since = now;
  if (run->commits && !reply.error && reply.position) {
    LogPosition& committed = session->committed[session->route.database];
    committed = std::max(committed, *reply.position);
  }
  if (reply.error && run->in_transaction) {
    this->GroupFor(session->route.database).EndTransaction(now, session->id);
  }
}

void Gateway::OnTransactionLost(ClientId client) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  if (found->second->transaction == TransactionState::kOpen) {
    found->second->transaction = TransactionState::kFailed;
    found->second->rollback_unreported = true;
  }
}

void Gateway::Answer(steady_clock::time_point now, const SessionPtr& session,
                     const ClientReply& reply) {
  ClientReply answer = reply;
  answer.state = session->transaction;
  this->hooks.reply(session->id, answer);
  if (session->running == nullptr && !session->queued.empty()) {
    const ClientStatement next = std::move(session->queued.front());
    session->queued.pop_front();
    this->Serve(now, session, next);
    return;
  }
  const bool ends = this->draining || reply.elsewhere ||
                    session->key_withdrawn_at ||
                    !this->OwnsGroup(session->route.database);
  if (ends && session->IsIdleIn(TransactionState::kIdle)) {
    this->sessions.erase(session->id);
    this->hooks.close_client(session->id);
  }
}

void Gateway::OnClientGone(steady_clock::time_point now, ClientId client) {
  this->pending_openings.erase(
      std::remove_if(this->pending_openings.begin(),
                     this->pending_openings.end(),
                     [client](const PendingOpening& entry) {
                       return entry.opening.client == client;
                     }),
      this->pending_openings.end());
  this->relayed.Remove(client);
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  this->sessions.erase(found);
  const bool has_work = session->running != nullptr ||
                        session->transaction == TransactionState::kOpen;
  if (!has_work) return;
  this->limits.CancelClient(client);
  this->GroupFor(session->route.database).CancelClient(now, client);
  this->ServeFreed(now);
}

void Gateway::OnLinkOpened(steady_clock::time_point now, LinkId link,
                           const std::optional<LogPosition>& position) {
  GroupTraffic* group = this->GroupOfLink(link);
  if (group != nullptr) group->OnLinkOpened(now, link, position);
}

void Gateway::OnLinkLost(steady_clock::time_point now, LinkId link) {
  GroupTraffic* group = this->GroupOfLink(link);
  if (group != nullptr) group->OnLinkLost(now, link);
}

void Gateway::OnReply(steady_clock::time_point now, LinkId link,
                      const MemberReply& reply) {
  GroupTraffic* group = this->GroupOfLink(link);
  if (group != nullptr) group->OnReply(now, link, reply);
}

void Gateway::OnTick(steady_clock::time_point now) {
  for (const auto& item : this->groups) item.second->OnTick(now);
  this->limits.OnTick(now);
  this->EndWithdrawnSessions(now);
  this->ExpireIdleTransactions(now);
  this->RefuseExpiredOpenings(now);
  this->ServeFreed(now);
}

}  // namespace lacewingferry
