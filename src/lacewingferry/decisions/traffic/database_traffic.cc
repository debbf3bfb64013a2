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
             MakeBreakerEventHook(this->hooks.events, this->id)),
      owned(this->id, this->hooks, this->settings),
      delayed(std::hash<NodeId>()(this->settings.node)) {
  this->forwards.SetFirstId(this->settings.incarnation);
}

void DatabaseTraffic::OnView(steady_clock::time_point now,
                             const RoutingViewPtr& new_view) {
  this->event_time = now;
  if (this->view == nullptr) this->inbox.Start(now);
  this->view = new_view;
  ++this->view_number;
  const auto found = this->view->databases.find(this->id);
  const bool known = found != this->view->databases.end();
  this->database = known ? &found->second : nullptr;
  const std::uint64_t term = known ? this->database->term : 0;
  if (std::exchange(this->routed_term, term) != term) {
    this->delayed.Expedite(now);
  }
  this->choice.Rebuild(now, this->database, this->settings.zone,
                       this->settings.node);
  this->owned.Configure(now, this->database);
  this->FailForwardsToLostProxies();
}

void DatabaseTraffic::FailForwardsToLostProxies() {
  for (const NodeId& owner : this->forwards.Owners()) {
    const bool live = std::any_of(
        this->view->proxies.begin(), this->view->proxies.end(),
        [&owner](const ProxyInfo& proxy) { return proxy.id == owner; });
    if (live) continue;
    for (const ForwardedJob& job : this->forwards.TakeOwnedBy(owner)) {
      this->OnOwnerUnresponsive(job);
    }
  }
}

void DatabaseTraffic::Submit(steady_clock::time_point now,
                             StatementRequest request, ReplyHook reply) {
  this->event_time = now;
  this->retries.OnRequest();
  auto routed = std::make_shared<RoutedRequest>();
  routed->job.deadline = now + request.timeout;
  routed->job.request = std::move(request);
  routed->job.reply = std::move(reply);
  StatementRequest& stored = routed->job.request;
  if (IsPlainRead(stored) && !stored.max_age && this->database != nullptr) {
    stored.max_age = this->database->default_max_age;
  }
  if (!routed->job.request.transaction.Empty()) {
    this->RouteInTransaction(routed);
  } else {
    this->Route(routed);
  }
}

void DatabaseTraffic::RouteInTransaction(const RoutedRequestPtr& routed) {
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

void DatabaseTraffic::Route(const RoutedRequestPtr& routed) {
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
      this->choice.Choose(this->event_time, routed->job.request, routed->tried);
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

void DatabaseTraffic::RouteLater(const RoutedRequestPtr& routed) {
  routed->tried.Clear();
  const auto retry_at =
      this->event_time + this->delayed.BackoffAfter(routed->rounds++);
  if (retry_at >= routed->job.deadline) {
    this->ReplyToCaller(
        routed, routed->last_refusal.value_or(
                    NotRun{RefusalCode::kNoPrimary,
                           "no member could serve the request in time"}));
    return;
  }
  this->RouteAt(retry_at, routed);
}

void DatabaseTraffic::RouteAt(steady_clock::time_point at,
                              const RoutedRequestPtr& routed) {
  this->delayed.Add(at, [this, routed] { this->Route(routed); });
}

Job DatabaseTraffic::MakeAttempt(const RoutedRequestPtr& routed) {
  routed->sent_at = this->event_time;
  routed->job.term = this->database == nullptr ? 0 : this->database->term;
  Job job = routed->job;
  job.received = this->event_time;
  job.reply = [this, routed](const Outcome& outcome) {
    this->OnOutcome(routed, outcome);
  };
  return job;
}

void DatabaseTraffic::RunHere(const RoutedRequestPtr& routed,
                              const MemberId& member) {
  this->owned.Run(this->event_time, member, this->MakeAttempt(routed));
}

std::optional<LogPosition> DatabaseTraffic::FreshPosition(
    milliseconds max_age, std::chrono::nanoseconds return_time) {
  // Samples are requested only near the primary: elsewhere, fetching one takes
  // as long as forwarding the request to the owner.
  if (this->choice.PrimaryInZone())
    this->owned.RequestSample(this->event_time, max_age);
  return AgeProof(this->owned.Samples())
      .LowestPosition(this->event_time, max_age, return_time);
}

void DatabaseTraffic::ObserveAnswer(const RoutedRequest& routed,
                                    const Answered& answer) {
  const StatementRequest& request = routed.job.request;
  const bool plain =
      request.transaction.Empty() && (request.kind == RequestKind::kRead ||
                                      request.kind == RequestKind::kWrite);
  if (!plain || answer.repeated || answer.served_by_replica) return;
  this->owned.OnPrimaryAnswer(routed.sent_at, answer.position);
}

void DatabaseTraffic::ObserveMember(const RoutedRequest& routed,
                                    const Outcome& outcome) {
  if (routed.view_number != this->view_number) return;
  if (!routed.job.request.transaction.Empty()) return;
  const bool read = routed.job.request.kind == RequestKind::kRead;
  this->choice.OnOutcome(
      this->event_time,
      EndedAttempt{routed.place, read, this->event_time - routed.sent_at},
      outcome);
}

std::optional<NotRun> DatabaseTraffic::SetAgeBound(const RoutedRequest& routed,
                                                   Answered& answer) const {
  if (!answer.served_by_replica) return std::nullopt;
  const auto age = AgeProof(this->owned.Samples())
                       .Bound(this->event_time, routed.sent_at, answer);
  answer.age_bound = age;
  const auto& max_age = routed.job.request.max_age;
  if (!max_age || (age && *age <= *max_age)) return std::nullopt;
  return NotRun{RefusalCode::kNoReplicaFreshEnough,
                "the answer came after the stated age had passed"};
}

void DatabaseTraffic::ReplyToCaller(const RoutedRequestPtr& routed,
                                    const Outcome& outcome) {
  const Job& job = routed->job;
  job.reply(routed->history.FinalOutcome(job.request, job.term, outcome));
}

void DatabaseTraffic::OnOutcome(const RoutedRequestPtr& routed,
                                Outcome outcome) {
  if (auto* answer = std::get_if<Answered>(&outcome)) {
    this->ObserveAnswer(*routed, *answer);
    const auto too_old = this->SetAgeBound(*routed, *answer);
    if (too_old) outcome = *too_old;
  }
  this->ObserveMember(*routed, outcome);
  Job& job = routed->job;
  const auto verdict =
      routed->history.Judge(job.request, job.term, outcome,
                            this->event_time < job.deadline, this->retries);
  if (verdict == AttemptVerdict::kReport) {
    this->ReplyToCaller(routed, outcome);
    return;
  }
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    routed->last_refusal = *refusal;
  }
  if (verdict == AttemptVerdict::kLookUpCommit) {
    job.request.transaction = TransactionId();
  }
  routed->tried.Add(routed->place);
  // The next tick routes it: OnOutcome may have been called from within the
  // executor to which the request would be submitted again.
  this->RouteAt(this->event_time, routed);
}

void DatabaseTraffic::OnProbe(steady_clock::time_point now, const NodeId& from,
                              const ProbedDatabase& probed) {
  this->event_time = now;
  this->owned.OnProbe(now, from, probed);
}

void DatabaseTraffic::OnSample(steady_clock::time_point now,
                               const SampledPosition& sample) {
  this->event_time = now;
  this->owned.OnSample(now, sample);
}

void DatabaseTraffic::OnLease(steady_clock::time_point now,
                              steady_clock::time_point until) {
  this->event_time = now;
  this->owned.OnLease(now, until);
}

void DatabaseTraffic::ReleaseTerm(steady_clock::time_point now,
                                  std::uint64_t term) {
  this->event_time = now;
  this->owned.ReleaseTerm(now, term);
}

void DatabaseTraffic::RunControlStatement(steady_clock::time_point now,
                                          const MemberId& member,
                                          ControlCall call) {
  this->event_time = now;
  this->owned.RunControlStatement(now, member, std::move(call));
}

void DatabaseTraffic::OnSeats(steady_clock::time_point now,
                              const SeatTablePtr& table) {
  this->event_time = now;
  this->owned.OnSeats(now, table);
}

std::size_t DatabaseTraffic::Connections(const MemberId& member) const {
  return this->owned.Connections(member);
}

void DatabaseTraffic::OnOpened(steady_clock::time_point now,
                               ConnectionId connection) {
  this->event_time = now;
  this->owned.OnOpened(now, connection);
}

void DatabaseTraffic::OnLost(steady_clock::time_point now,
                             ConnectionId connection,
                             ConnectionFailure failure) {
  this->event_time = now;
  this->owned.OnLost(now, connection, failure);
}

void DatabaseTraffic::OnCompleted(steady_clock::time_point now,
                                  ConnectionId connection,
                                  const MemberBatchResult& result) {
  this->event_time = now;
  this->owned.OnCompleted(now, connection, result);
}

void DatabaseTraffic::OnTick(steady_clock::time_point now) {
  this->event_time = now;
  this->owned.OnTick(now);
  for (const ForwardedJob& job : this->forwards.TakeExpired(now)) {
    this->OnOwnerUnresponsive(job);
  }
  for (const ForwardResend& resend : this->forwards.DueResends(now)) {
    this->hooks.send(resend.owner, resend.message);
  }
  for (const auto& route : this->delayed.TakeDue(now)) route();
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
