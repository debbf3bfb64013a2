#include "lacewingferry/decisions/traffic/database_traffic.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/traffic/read_routing.h"
#include "lacewingferry/decisions/traffic/transaction_name.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The pause before a request that no member could serve is routed anew. */
constexpr milliseconds kRouteAgainPause{10};

/** Spreads the forwards of several proxies over a member's owners in the
 * ratio of their shares. */
const SlotShare& PickOwner(const RoutedMember& member, std::uint64_t turn) {
  std::uint64_t slot = turn % std::max<std::uint64_t>(1, member.info.slots);
  for (const SlotShare& share : member.owners) {
    if (slot < share.slots) return share;
    slot -= share.slots;
  }
  return member.owners.front();
}

/** The time that an owner has for a request, so that its answer is back
 * before the caller's deadline. */
milliseconds TimeForOwner(steady_clock::duration left) {
  constexpr milliseconds kLongestWay{45};
  const auto whole = std::chrono::duration_cast<milliseconds>(left);
  return whole - std::min(kLongestWay, whole / 4);
}

bool OwnsShare(const RoutedMember& member, const NodeId& node) {
  return std::any_of(
      member.owners.begin(), member.owners.end(),
      [&node](const SlotShare& share) { return share.owner == node; });
}

std::uint32_t ShareOf(const RoutedMember& member, const NodeId& node) {
  for (const SlotShare& share : member.owners) {
    if (share.owner == node) return share.slots;
  }
  return 0;
}

}  // namespace

DatabaseTraffic::DatabaseTraffic(DatabaseId database_id,
                                 TrafficHooks traffic_hooks,
                                 TrafficSettings traffic_settings)
    : id(std::move(database_id)),
      hooks(std::move(traffic_hooks)),
      settings(std::move(traffic_settings)),
      next_transaction(this->settings.incarnation) {
  this->forwards.StartAt(this->settings.incarnation);
}

void DatabaseTraffic::OnView(steady_clock::time_point present,
                             const RoutingViewPtr& new_view) {
  this->now = present;
  this->view = new_view;
  const auto found = this->view->databases.find(this->id);
  this->database =
      found == this->view->databases.end() ? nullptr : &found->second;
  this->ConfigureExecutors();
  this->FailForwardsToLostProxies();
}

void DatabaseTraffic::ConfigureExecutors() {
  std::set<MemberId> known;
  if (this->database != nullptr) {
    for (const RoutedMember& member : this->database->members) {
      known.insert(member.info.id);
      const std::uint32_t share = ShareOf(member, this->settings.node);
      auto& executor = this->executors[member.info.id];
      if (executor == nullptr) {
        if (share == 0) {
          this->executors.erase(member.info.id);
          continue;
        }
        executor = this->MakeExecutor(member.info.id);
      }
      executor->Configure(
          this->now,
          ExecutorRole{member.info, share,
                       member.info.id == this->database->primary,
                       this->database->term, this->database->group_size});
    }
  }
  for (auto& entry : this->executors) {
    if (known.count(entry.first) == 0) entry.second->Withdraw(this->now);
  }
}

std::unique_ptr<MemberExecutor> DatabaseTraffic::MakeExecutor(
    const MemberId& member) {
  ExecutorHooks own{this->hooks.port,
                    this->hooks.events,
                    this->hooks.next_connection,
                    [this, member] { return this->NextTransaction(member); },
                    [this](steady_clock::time_point at, std::uint64_t term) {
                      return this->gate.Open(at, term);
                    },
                    this->hooks.observe};
  ExecutorSettings own_settings{
      RunSettings{
          FlightSql{this->settings.status_sql, this->settings.request_record},
          this->hooks.codec},
      this->settings.transactions,
      std::hash<MemberId>()(member) ^ std::hash<NodeId>()(this->settings.node) ^
          this->settings.incarnation};
  return std::make_unique<MemberExecutor>(std::move(own),
                                          std::move(own_settings));
}

TransactionId DatabaseTraffic::NextTransaction(const MemberId& member) {
  return FormatTransactionName(
      TransactionName{this->settings.node, member, this->next_transaction++});
}

void DatabaseTraffic::FailForwardsToLostProxies() {
  for (const NodeId& owner : this->forwards.Owners()) {
    const bool live = std::any_of(
        this->view->proxies.begin(), this->view->proxies.end(),
        [&owner](const ProxyInfo& proxy) { return proxy.id == owner; });
    if (live) continue;
    for (const ForwardedJob& job : this->forwards.TakeOwnedBy(owner)) {
      this->OnOwnerSilent(job);
    }
  }
}

void DatabaseTraffic::Submit(steady_clock::time_point present,
                             StatementRequest request, ReplyHook reply) {
  this->now = present;
  this->retries.OnRequest();
  auto routed = std::make_shared<Routed>();
  routed->job.deadline = present + request.timeout;
  routed->job.request = std::move(request);
  routed->job.reply = std::move(reply);
  if (!routed->job.request.transaction.Empty()) {
    this->RouteInTransaction(routed);
  } else {
    this->Route(routed);
  }
}

void DatabaseTraffic::RouteInTransaction(const RoutedPtr& routed) {
  const auto name = ParseTransactionName(routed->job.request.transaction);
  if (!name) {
    routed->job.reply(NotRun{
        RefusalCode::kUnknownTransaction,
        "no transaction is named " + routed->job.request.transaction.Value()});
    return;
  }
  routed->member = name->member;
  if (name->owner == this->settings.node) {
    this->RunHere(routed, name->member);
  } else {
    this->Forward(routed, name->owner, name->member);
  }
}

void DatabaseTraffic::Route(const RoutedPtr& routed) {
  if (this->database == nullptr) {
    routed->job.reply(
        NotRun{RefusalCode::kUnknownDatabase,
               "no member has announced database " + this->id.Value()});
    return;
  }
  const RoutedMember* member =
      ChooseMember(*this->database, this->settings.zone, routed->job.request,
                   routed->excluded);
  if (member == nullptr) {
    this->RouteLater(routed);
    return;
  }
  routed->member = member->info.id;
  if (OwnsShare(*member, this->settings.node)) {
    this->RunHere(routed, member->info.id);
    return;
  }
  const std::uint64_t turn = this->next_transaction++;
  this->Forward(routed, PickOwner(*member, turn).owner, member->info.id);
}

void DatabaseTraffic::RouteLater(const RoutedPtr& routed) {
  routed->excluded.clear();
  const auto again = this->now + kRouteAgainPause;
  if (again >= routed->job.deadline) {
    this->Tell(routed, NotRun{RefusalCode::kNoPrimary,
                              "no member could serve the request in time"});
    return;
  }
  this->delayed.emplace(again, routed);
}

MemberExecutor* DatabaseTraffic::FindExecutor(const MemberId& member) {
  const auto found = this->executors.find(member);
  return found == this->executors.end() ? nullptr : found->second.get();
}

MemberExecutor* DatabaseTraffic::FindExecutor(ConnectionId connection) {
  for (auto& entry : this->executors) {
    if (entry.second->Owns(connection)) return entry.second.get();
  }
  return nullptr;
}

void DatabaseTraffic::RunHere(const RoutedPtr& routed, const MemberId& member) {
  MemberExecutor* executor = this->FindExecutor(member);
  if (executor == nullptr) {
    this->OnOutcome(routed, NotRun{RefusalCode::kNoOwner, "not an owner"});
    return;
  }
  Job job = routed->job;
  job.term = this->SetAttemptTerm(*routed);
  job.reply = [this, routed](const Outcome& outcome) {
    this->OnOutcome(routed, outcome);
  };
  executor->Submit(this->now, std::move(job));
}

void DatabaseTraffic::Forward(const RoutedPtr& routed, const NodeId& owner,
                              const MemberId& member) {
  ForwardRequest forward;
  forward.member = member;
  forward.term = this->SetAttemptTerm(*routed);
  forward.request = routed->job.request;
  forward.request.timeout = TimeForOwner(routed->job.deadline - this->now);
  Job job = routed->job;
  job.reply = [this, routed](const Outcome& outcome) {
    this->OnOutcome(routed, outcome);
  };
  forward.forward_id =
      this->forwards.Add(ForwardedJob{std::move(job), owner, member});
  this->hooks.send(owner, forward);
}

void DatabaseTraffic::OnForward(steady_clock::time_point present,
                                const NodeId& from,
                                const ForwardRequest& forward) {
  this->now = present;
  Job job;
  job.request = forward.request;
  job.deadline = present + forward.request.timeout;
  job.term = forward.term;
  job.reply = [this, from,
               forward_id = forward.forward_id](const Outcome& outcome) {
    this->hooks.send(from, ForwardReply{forward_id, this->id, outcome});
  };
  MemberExecutor* executor = this->FindExecutor(forward.member);
  if (executor == nullptr) {
    job.reply(NotRun{RefusalCode::kNoOwner, "not an owner of the member"});
    return;
  }
  executor->Submit(present, std::move(job));
}

void DatabaseTraffic::OnForwardReply(steady_clock::time_point present,
                                     const NodeId& from,
                                     const ForwardReply& reply) {
  this->now = present;
  const auto forwarded = this->forwards.Take(reply.forward_id, from);
  if (forwarded) forwarded->job.reply(reply.outcome);
}

void DatabaseTraffic::OnOwnerSilent(const ForwardedJob& forwarded) {
  const StatementRequest& request = forwarded.job.request;
  if (request.kind == RequestKind::kRead && request.transaction.Empty()) {
    forwarded.job.reply(NotRun{RefusalCode::kMemberUnreachable,
                               "the owner of the connection did not answer"});
    return;
  }
  forwarded.job.reply(
      UnknownOutcome{"the owner of the connection did not answer"});
}

std::uint64_t DatabaseTraffic::SetAttemptTerm(Routed& routed) const {
  routed.job.term = this->database == nullptr ? 0 : this->database->term;
  return routed.job.term;
}

void DatabaseTraffic::Tell(const RoutedPtr& routed, const Outcome& outcome) {
  const Job& job = routed->job;
  job.reply(routed->history.Truth(job.request, job.term, outcome));
}

void DatabaseTraffic::OnOutcome(const RoutedPtr& routed,
                                const Outcome& outcome) {
  Job& job = routed->job;
  const auto verdict = routed->history.Judge(
      job.request, job.term, outcome, this->now < job.deadline, this->retries);
  if (verdict == AttemptVerdict::kTell) {
    this->Tell(routed, outcome);
    return;
  }
  if (verdict == AttemptVerdict::kSettle) {
    job.request.transaction = TransactionId();
  }
  routed->excluded.insert(routed->member);
  // Routed by the next tick: the refusal may come from within the executor
  // that this request would enter again.
  this->delayed.emplace(this->now, routed);
}

void DatabaseTraffic::OnLease(steady_clock::time_point present,
                              steady_clock::time_point until) {
  this->now = present;
  this->gate.SetLease(until);
  for (auto& entry : this->executors) {
    entry.second->OnGateChanged(present, this->gate.ReleasedTerm());
  }
}

void DatabaseTraffic::ReleaseTerm(steady_clock::time_point present,
                                  std::uint64_t term) {
  this->now = present;
  this->gate.ReleaseTerm(term);
  for (auto& entry : this->executors) {
    entry.second->OnGateChanged(present, this->gate.ReleasedTerm());
  }
}

void DatabaseTraffic::RunControlStatement(steady_clock::time_point present,
                                          const MemberId& member,
                                          ControlCall call) {
  this->now = present;
  MemberExecutor* executor = this->FindExecutor(member);
  if (executor == nullptr) {
    call.reply(std::nullopt);
    return;
  }
  executor->RunControlStatement(present, std::move(call));
}

void DatabaseTraffic::LimitConnections(steady_clock::time_point present,
                                       const MemberId& member,
                                       std::size_t most) {
  this->now = present;
  MemberExecutor* executor = this->FindExecutor(member);
  if (executor != nullptr) executor->LimitConnections(most);
}

std::size_t DatabaseTraffic::Connections(const MemberId& member) const {
  const auto found = this->executors.find(member);
  return found == this->executors.end() ? 0 : found->second->Connections();
}

void DatabaseTraffic::OnOpened(steady_clock::time_point present,
                               ConnectionId connection) {
  this->now = present;
  MemberExecutor* executor = this->FindExecutor(connection);
  if (executor != nullptr) executor->OnOpened(present, connection);
}

void DatabaseTraffic::OnLost(steady_clock::time_point present,
                             ConnectionId connection,
                             ConnectionFailure failure) {
  this->now = present;
  MemberExecutor* executor = this->FindExecutor(connection);
  if (executor != nullptr) executor->OnLost(present, connection, failure);
}

void DatabaseTraffic::OnCompleted(steady_clock::time_point present,
                                  ConnectionId connection,
                                  const BatchResult& result) {
  this->now = present;
  MemberExecutor* executor = this->FindExecutor(connection);
  if (executor != nullptr) executor->OnCompleted(present, connection, result);
}

void DatabaseTraffic::OnTick(steady_clock::time_point present) {
  this->now = present;
  for (auto& entry : this->executors) entry.second->OnTick(present);
  for (const ForwardedJob& job : this->forwards.TakeExpired(present)) {
    this->OnOwnerSilent(job);
  }
  std::vector<RoutedPtr> due;
  const auto end = this->delayed.upper_bound(present);
  for (auto it = this->delayed.begin(); it != end; ++it) {
    due.push_back(it->second);
  }
  this->delayed.erase(this->delayed.begin(), end);
  for (const RoutedPtr& routed : due) this->Route(routed);
}

std::optional<steady_clock::time_point> DatabaseTraffic::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->forwards.NextDeadline();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  if (!this->delayed.empty()) consider(this->delayed.begin()->first);
  for (const auto& entry : this->executors) {
    consider(entry.second->NextWakeup());
  }
  return next;
}

std::size_t DatabaseTraffic::Unfinished() const {
  std::size_t count = this->forwards.Size() + this->delayed.size();
  for (const auto& entry : this->executors) {
    count += entry.second->Unfinished();
  }
  return count;
}

std::size_t DatabaseTraffic::OpenTransactions() const {
  std::size_t count = 0;
  for (const auto& entry : this->executors) {
    count += entry.second->OpenTransactions();
  }
  return count;
}

std::size_t DatabaseTraffic::Connections() const {
  std::size_t count = 0;
  for (const auto& entry : this->executors) {
    count += entry.second->Connections();
  }
  return count;
}

}  // namespace lacewingferry
