#include "lacewingferry/decisions/traffic/database_traffic.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/choice/breaker_events.h"
#include "lacewingferry/decisions/execution/transaction_name.h"
#include "lacewingferry/decisions/freshness/age_proof.h"
#include "lacewingferry/decisions/traffic/plain_read.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

}  // namespace

DatabaseTraffic::DatabaseTraffic(DatabaseId database_id,
                                 TrafficHooks traffic_hooks,
                                 TrafficSettings traffic_settings)
    : id(std::move(database_id)),
      hooks(std::move(traffic_hooks)),
      settings(std::move(traffic_settings)),
      choice(std::hash<NodeId>()(this->settings.node),
             BreakerEvents(this->hooks.events, this->id)),
      owned(this->id, this->hooks, this->settings),
      delayed(std::hash<NodeId>()(this->settings.node)) {
  this->forwards.SetFirstId(this->settings.incarnation);
}

void DatabaseTraffic::OnView(steady_clock::time_point present,
                             const RoutingViewPtr& new_view) {
  this->now = present;
  if (this->view == nullptr) this->inbox.Start(present);
  this->view = new_view;
  ++this->view_number;
  const auto found = this->view->databases.find(this->id);
  const bool known = found != this->view->databases.end();
  this->database = known ? &found->second : nullptr;
  const std::uint64_t term = known ? this->database->term : 0;
  if (std::exchange(this->routed_term, term) != term) {
    this->delayed.Hasten(present);
  }
  this->choice.Rebuild(present, this->database, this->settings.zone,
                       this->settings.node);
  this->owned.Configure(present, this->database);
  this->FailForwardsToLostProxies();
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
  StatementRequest& own = routed->job.request;
  if (IsPlainRead(own) && !own.max_age && this->database != nullptr) {
    own.max_age = this->database->default_max_age;
  }
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
  if (name->owner == this->settings.node) {
    this->RunHere(routed, name->member);
  } else {
    this->Forward(routed, name->owner, name->member, milliseconds(0));
  }
}

void DatabaseTraffic::Route(const RoutedPtr& routed) {
  if (this->database == nullptr) {
    routed->job.reply(
        NotRun{RefusalCode::kUnknownDatabase,
               "no member has announced database " + this->id.Value()});
    return;
  }
  if (routed->view_number != this->view_number) {
    routed->view_number = this->view_number;
    routed->rounds = 0;
    routed->tried.Clear();
  }
  const auto decision =
      this->choice.Choose(this->now, routed->job.request, routed->tried);
  if (!decision) {
    this->RouteLater(routed);
    return;
  }
  routed->place = decision->place;
  if (decision->owner == nullptr) {
    this->RunHere(routed, *decision->member);
  } else {
    this->Forward(routed, *decision->owner, *decision->member,
                  decision->return_time);
  }
}

void DatabaseTraffic::RouteLater(const RoutedPtr& routed) {
  routed->tried.Clear();
  const auto again = this->now + this->delayed.PauseAfter(routed->rounds++);
  if (again >= routed->job.deadline) {
    this->Tell(routed, routed->last_refusal.value_or(NotRun{
                           RefusalCode::kNoPrimary,
                           "no member could serve the request in time"}));
    return;
  }
  this->RouteAt(again, routed);
}

void DatabaseTraffic::RouteAt(steady_clock::time_point at,
                              const RoutedPtr& routed) {
  this->delayed.Add(at, [this, routed] { this->Route(routed); });
}

Job DatabaseTraffic::MakeAttempt(const RoutedPtr& routed) {
  routed->sent_at = this->now;
  routed->job.term = this->database == nullptr ? 0 : this->database->term;
  Job job = routed->job;
  job.received = this->now;
  job.reply = [this, routed](const Outcome& outcome) {
    this->OnOutcome(routed, outcome);
  };
  return job;
}

void DatabaseTraffic::RunHere(const RoutedPtr& routed, const MemberId& member) {
  this->owned.Run(this->now, member, this->MakeAttempt(routed));
}

std::optional<LogPosition> DatabaseTraffic::FreshPosition(
    milliseconds max_age, std::chrono::nanoseconds return_time) {
  // Elsewhere a sample's way is as long as the way to the owner.
  if (this->choice.PrimaryIsNear()) this->owned.WantSample(this->now, max_age);
  return AgeProof(this->owned.Samples())
      .LowestPosition(this->now, max_age, return_time);
}

void DatabaseTraffic::ObserveAnswer(const Routed& routed,
                                    const Answered& answer) {
  const StatementRequest& request = routed.job.request;
  const bool plain =
      request.transaction.Empty() && (request.kind == RequestKind::kRead ||
                                      request.kind == RequestKind::kWrite);
  if (!plain || answer.repeated || answer.served_by_replica) return;
  this->owned.OnPrimaryAnswer(routed.sent_at, answer.position);
}

void DatabaseTraffic::ObserveMember(const Routed& routed,
                                    const Outcome& outcome) {
  if (routed.view_number != this->view_number) return;
  if (!routed.job.request.transaction.Empty()) return;
  const bool read = routed.job.request.kind == RequestKind::kRead;
  this->choice.OnOutcome(
      this->now, EndedAttempt{routed.place, read, this->now - routed.sent_at},
      outcome);
}

std::optional<NotRun> DatabaseTraffic::StateAge(const Routed& routed,
                                                Answered& answer) const {
  if (!answer.served_by_replica) return std::nullopt;
  const auto age =
      AgeProof(this->owned.Samples()).Bound(this->now, routed.sent_at, answer);
  answer.age_bound = age;
  const auto& max_age = routed.job.request.max_age;
  if (!max_age || (age && *age <= *max_age)) return std::nullopt;
  return NotRun{RefusalCode::kNoReplicaFreshEnough,
                "the answer came after the stated age had passed"};
}

void DatabaseTraffic::Tell(const RoutedPtr& routed, const Outcome& outcome) {
  const Job& job = routed->job;
  job.reply(routed->history.Truth(job.request, job.term, outcome));
}

void DatabaseTraffic::OnOutcome(const RoutedPtr& routed, Outcome outcome) {
  if (auto* answer = std::get_if<Answered>(&outcome)) {
    this->ObserveAnswer(*routed, *answer);
    const auto too_old = this->StateAge(*routed, *answer);
    if (too_old) outcome = *too_old;
  }
  this->ObserveMember(*routed, outcome);
  Job& job = routed->job;
  const auto verdict = routed->history.Judge(
      job.request, job.term, outcome, this->now < job.deadline, this->retries);
  if (verdict == AttemptVerdict::kTell) {
    this->Tell(routed, outcome);
    return;
  }
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    routed->last_refusal = *refusal;
  }
  if (verdict == AttemptVerdict::kSettle) {
    job.request.transaction = TransactionId();
  }
  routed->tried.Add(routed->place);
  // Routed by the next tick: the refusal may come from within the executor
  // that this request would enter again.
  this->RouteAt(this->now, routed);
}

void DatabaseTraffic::OnProbe(steady_clock::time_point present,
                              const NodeId& from,
                              const ProbedDatabase& question) {
  this->now = present;
  this->owned.OnProbe(present, from, question);
}

void DatabaseTraffic::OnSample(steady_clock::time_point present,
                               const SampledPosition& sample) {
  this->now = present;
  this->owned.OnSample(present, sample);
}

void DatabaseTraffic::OnLease(steady_clock::time_point present,
                              steady_clock::time_point until) {
  this->now = present;
  this->owned.OnLease(present, until);
}

void DatabaseTraffic::ReleaseTerm(steady_clock::time_point present,
                                  std::uint64_t term) {
  this->now = present;
  this->owned.ReleaseTerm(present, term);
}

void DatabaseTraffic::RunControlStatement(steady_clock::time_point present,
                                          const MemberId& member,
                                          ControlCall call) {
  this->now = present;
  this->owned.RunControlStatement(present, member, std::move(call));
}

void DatabaseTraffic::OnSeats(steady_clock::time_point present,
                              const SeatTablePtr& table) {
  this->now = present;
  this->owned.OnSeats(present, table);
}

std::size_t DatabaseTraffic::Connections(const MemberId& member) const {
  return this->owned.Connections(member);
}

void DatabaseTraffic::OnOpened(steady_clock::time_point present,
                               ConnectionId connection) {
  this->now = present;
  this->owned.OnOpened(present, connection);
}

void DatabaseTraffic::OnLost(steady_clock::time_point present,
                             ConnectionId connection,
                             ConnectionFailure failure) {
  this->now = present;
  this->owned.OnLost(present, connection, failure);
}

void DatabaseTraffic::OnCompleted(steady_clock::time_point present,
                                  ConnectionId connection,
                                  const MemberBatchResult& result) {
  this->now = present;
  this->owned.OnCompleted(present, connection, result);
}

void DatabaseTraffic::OnTick(steady_clock::time_point present) {
  this->now = present;
  this->owned.OnTick(present);
  for (const ForwardedJob& job : this->forwards.TakeExpired(present)) {
    this->OnOwnerSilent(job);
  }
  for (const ForwardResend& again : this->forwards.DueResends(present)) {
    this->hooks.send(again.owner, again.message);
  }
  for (const auto& route : this->delayed.TakeDue(present)) route();
}

std::optional<steady_clock::time_point> DatabaseTraffic::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->forwards.NextWakeup();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  consider(this->delayed.Next());
  consider(this->owned.NextWakeup());
  return next;
}

std::size_t DatabaseTraffic::Unfinished() const {
  return this->forwards.Size() + this->delayed.Size() +
         this->owned.Unfinished();
}

std::size_t DatabaseTraffic::OpenTransactions() const {
  return this->owned.OpenTransactions();
}

std::size_t DatabaseTraffic::Connections() const {
  return this->owned.Connections();
}

}  // namespace lacewingferry
