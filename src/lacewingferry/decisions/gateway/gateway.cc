#include "lacewingferry/decisions/gateway/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A client that sends more statements without reading answers is malformed;
 * see Gateway::OnStatement. */
constexpr std::size_t kMostQueued = 64;

bool Begins(const ClientStatement& statement) {
  return statement.kind == StatementKind::kBegin ||
         statement.kind == StatementKind::kBeginReadOnly;
}

bool Ends(const ClientStatement& statement) {
  return statement.kind == StatementKind::kCommit ||
         statement.kind == StatementKind::kRollback;
}

}  // namespace

Gateway::Gateway(GatewayHooks gateway_hooks, GatewaySettings gateway_settings)
    : hooks(std::move(gateway_hooks)),
      settings(std::move(gateway_settings)),
      relayed([this](ClientId client) { this->hooks.close_client(client); }) {}

GroupTraffic& Gateway::GroupFor(const DatabaseId& database) {
  auto& group = this->groups[database];
  if (group) return *group;
  GroupTrafficHooks group_hooks;
  group_hooks.ended = [this](steady_clock::time_point now, const RunPtr& run,
                             ClientReply reply) {
    this->OnEnded(now, run, std::move(reply));
  };
  group_hooks.transaction_lost = [this](ClientId client) {
    this->OnTransactionLost(client);
  };
  group_hooks.next_link = [this] { return ++this->last_link; };
  group = std::make_unique<GroupTraffic>(database, this->hooks, this->settings,
                                         std::move(group_hooks));
  return *group;
}

GroupTraffic* Gateway::OwnerOf(LinkId link) {
  for (const auto& item : this->groups) {
    if (item.second->Owns(link)) return item.second.get();
  }
  return nullptr;
}

void Gateway::SetView(steady_clock::time_point now, GatewayViewPtr next) {
  this->view = std::move(next);
  for (const auto& [database, group] : this->view->groups) {
    this->GroupFor(database).SetView(now, group);
  }
  this->EndSessionsOfOthers();
  this->AdmitWaiting();
}

void Gateway::SetLease(const DatabaseId& database, std::uint64_t term,
                       steady_clock::time_point until) {
  this->GroupFor(database).SetLease(term, until);
}

void Gateway::OnPosition(const DatabaseId& database,
                         steady_clock::time_point asked,
                         const LogPosition& position) {
  this->GroupFor(database).OnPosition(asked, position);
}

void Gateway::Recall(steady_clock::time_point now, const DatabaseId& database,
                     std::uint64_t before_term, milliseconds patience) {
  this->GroupFor(database).Recall(now, before_term, patience);
}

void Gateway::OnStatement(steady_clock::time_point now, ClientId client,
                          const ClientStatement& statement) {
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  if (session->running == nullptr) {
    this->Serve(now, session, statement);
    return;
  }
  if (session->queued.size() < kMostQueued) {
    session->queued.push_back(statement);
    return;
  }
  this->OnClientGone(now, client);
  this->hooks.close_client(client);
}

void Gateway::Serve(steady_clock::time_point now, const SessionPtr& session,
                    const ClientStatement& statement) {
  if (session->transaction == TransactionState::kFailed &&
      this->ServeInFailed(now, session, statement)) {
    return;
  }
  if (!this->FitsTransaction(*session, statement)) {
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

/** In a failed transaction only its end is served. */
bool Gateway::ServeInFailed(steady_clock::time_point now,
                            const SessionPtr& session,
                            const ClientStatement& statement) {
  if (!Ends(statement)) {
    const bool told = !std::exchange(session->lost, false);
    this->Answer(now, session,
                 told ? FailureReply(StatementError::kMalformed,
                                     "the transaction has failed")
                      : FailureReply(StatementError::kAborted,
                                     "the transaction was rolled back"));
    return true;
  }
  session->lost = false;
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

bool Gateway::FitsTransaction(const ClientSession& session,
                              const ClientStatement& statement) const {
  const bool open = session.transaction == TransactionState::kOpen;
  if (Begins(statement)) return !open;
  if (Ends(statement)) return open;
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
  const RunPtr run = this->MakeRun(now, session, statement);
  session->running = run;
  if (Begins(statement)) {
    session->transaction_wrote = false;
    session->transaction_database = session->route.database;
  }
  if (open && run->writes && !run->commits) session->transaction_wrote = true;
  this->GroupFor(session->route.database).Submit(now, run);
}

RunPtr Gateway::MakeRun(steady_clock::time_point now, const SessionPtr& session,
                        const ClientStatement& statement) const {
  auto run = std::make_shared<StatementRun>();
  const Route& route = session->route;
  run->client = session->id;
  run->statement = statement;
  run->database = route.database;
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

void Gateway::OnEnded(steady_clock::time_point now, const RunPtr& run,
                      ClientReply reply) {
  this->hooks.ended(*run, reply, now - run->arrived);
  this->Record(now, run, reply);
  const auto found = this->sessions.find(run->client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  session->running.reset();
  this->FollowTransaction(now, session, run, reply);
  this->Answer(now, session, reply);
}

/** Brings the session's transaction to where the statement left it. */
void Gateway::FollowTransaction(steady_clock::time_point now,
                                const SessionPtr& session, const RunPtr& run,
                                const ClientReply& reply) {
  session->transaction = reply.state;
  session->rests_since = now;
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
    found->second->lost = true;
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
                    !this->OwnsGroup(session->route.database);
  if (ends && session->RestsIn(TransactionState::kIdle)) {
    this->sessions.erase(session->id);
    this->hooks.close_client(session->id);
  }
}

void Gateway::OnClientGone(steady_clock::time_point now, ClientId client) {
  this->openings.erase(
      std::remove_if(this->openings.begin(), this->openings.end(),
                     [client](const Opening& entry) {
                       return entry.asked.client == client;
                     }),
      this->openings.end());
  this->relayed.Remove(client);
  const auto found = this->sessions.find(client);
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  this->sessions.erase(found);
  const bool involved = session->running != nullptr ||
                        session->transaction == TransactionState::kOpen;
  if (!involved) return;
  this->GroupFor(session->route.database).Abandon(now, client);
}

void Gateway::OnLinkOpened(steady_clock::time_point now, LinkId link,
                           const std::optional<LogPosition>& position) {
  GroupTraffic* group = this->OwnerOf(link);
  if (group != nullptr) group->OnLinkOpened(now, link, position);
}

void Gateway::OnLinkLost(steady_clock::time_point now, LinkId link) {
  GroupTraffic* group = this->OwnerOf(link);
  if (group != nullptr) group->OnLinkLost(now, link);
}

void Gateway::OnReply(steady_clock::time_point now, LinkId link,
                      const MemberReply& reply) {
  GroupTraffic* group = this->OwnerOf(link);
  if (group != nullptr) group->OnReply(now, link, reply);
}

void Gateway::OnTick(steady_clock::time_point now) {
  for (const auto& item : this->groups) item.second->OnTick(now);
  this->EndIdleTransactions(now);
  this->RefuseLate(now);
}

}  // namespace lacewingferry
