#include "lacewingferry/decisions/traffic/owned_members.h"

#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/choice/member_time.h"
#include "lacewingferry/decisions/execution/transaction_name.h"
#include "lacewingferry/decisions/traffic/plain_read.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

std::uint32_t ShareOf(const RoutedMember& member, const NodeId& node) {
  for (const SlotShare& share : member.owners) {
    if (share.owner == node) return share.slots;
  }
  return 0;
}

}  // namespace

OwnedMembers::OwnedMembers(DatabaseId database_id, TrafficHooks traffic_hooks,
                           TrafficSettings traffic_settings)
    : database(std::move(database_id)),
      hooks(std::move(traffic_hooks)),
      settings(std::move(traffic_settings)),
      sampler(this->database, this->SamplerHooks(), this->settings.incarnation),
      next_transaction(this->settings.incarnation) {}

PositionSamplerHooks OwnedMembers::SamplerHooks() {
  return PositionSamplerHooks{
      [this](const NodeId& node, const ProbedDatabase& probed) {
        this->hooks.send(node, PositionProbe{{probed}});
      },
      [this](const NodeId& node, const SampledPosition& answer) {
        this->hooks.send(node, PositionSample{{answer}});
      },
      [this](steady_clock::time_point at) {
        return this->RequestPrimaryStatus(at);
      }};
}

OwnedMembers::OwnedMember OwnedMembers::MakeOwnedMember(
    const MemberId& member) {
  ExecutorHooks executor_hooks;
  executor_hooks.port = this->hooks.port;
  executor_hooks.events = this->hooks.events;
  executor_hooks.next_connection = this->hooks.next_connection;
  executor_hooks.next_transaction = [this, member] {
    return FormatTransactionName(
        TransactionName{this->settings.node, member, this->next_transaction++});
  };
  executor_hooks.may_answer = [this](steady_clock::time_point at,
                                     std::uint64_t of_term) {
    return this->answer_gate.Open(at, of_term);
  };
  executor_hooks.observe = this->hooks.observe;
  executor_hooks.on_status = [this, member](
                                 steady_clock::time_point requested_at,
                                 const GroupMemberState& status) {
    this->OnStatus(member, requested_at, status);
  };
  executor_hooks.age_of = [this](const LogPosition& position) {
    return this->AgeOf(position);
  };
  OwnedMember made;
  ExecutorSettings executor_settings{
      RunSettings{this->hooks.codec}, this->settings.transactions,
      std::hash<MemberId>()(member) ^ std::hash<NodeId>()(this->settings.node) ^
          this->settings.incarnation};
  made.executor = std::make_unique<MemberExecutor>(
      std::move(executor_hooks), std::move(executor_settings));
  MemberExecutor* executor = made.executor.get();
  made.gate = std::make_unique<ReplicaGate>(ReplicaGateHooks{
      [this, executor](steady_clock::time_point at, Job job) {
        job.reply = WithMemberTime(
            at, [this] { return this->event_time; }, std::move(job.reply));
        executor->Submit(at, std::move(job));
      },
      [executor](steady_clock::time_point at) { executor->RequestStatus(at); },
      [this](steady_clock::time_point at, std::chrono::milliseconds max_age) {
        this->sampler.RequestSamples(at, max_age);
      },
      [this](const LogPosition& position) {
        return this->sampler.Samples().CompleteUntil(position);
      }});
  return made;
}

void OwnedMembers::Configure(steady_clock::time_point now,
                             const DatabaseView* view) {
  this->event_time = now;
  std::set<MemberId> known;
  this->primary = view == nullptr ? MemberId() : view->primary;
  if (view != nullptr) {
    this->term = view->term;
    this->group_size = view->group_size;
    this->counted_members = view->counted_members;
    for (const RoutedMember& member : view->members) {
      known.insert(member.info.id);
      this->ConfigureMember(member);
    }
  }
  for (auto& entry : this->owned) {
    if (known.count(entry.first) > 0) continue;
    entry.second.gate->Withdraw(now);
    entry.second.executor->OnMemberRemoved(now);
  }
}

void OwnedMembers::ConfigureMember(const RoutedMember& member) {
  const MemberId& id = member.info.id;
  const bool is_primary = id == this->primary;
  if (is_primary) {
    std::vector<NodeId> owners;
    for (const SlotShare& share : member.owners) owners.push_back(share.owner);
    this->sampler.SetPrimaryOwners(std::move(owners));
  }
  const std::uint32_t share = ShareOf(member, this->settings.node);
  auto found = this->owned.find(id);
  if (found == this->owned.end()) {
    if (share == 0) return;
    found = this->owned.emplace(id, this->MakeOwnedMember(id)).first;
    found->second.executor->LimitConnections(this->event_time,
                                             this->SeatsOf(id));
  }
  if (share == 0 || is_primary) found->second.gate->Withdraw(this->event_time);
  found->second.executor->Configure(
      this->event_time, ExecutorRole{member.info, share, is_primary, this->term,
                                     this->group_size, this->counted_members});
}

std::optional<std::chrono::nanoseconds> OwnedMembers::AgeOf(
    const LogPosition& position) const {
  const auto complete = this->sampler.Samples().CompleteUntil(position);
  if (!complete) return std::nullopt;
  return this->event_time - *complete;
}

OwnedMembers::OwnedMember* OwnedMembers::Find(const MemberId& member) {
  const auto found = this->owned.find(member);
  return found == this->owned.end() ? nullptr : &found->second;
}

MemberExecutor* OwnedMembers::Find(ConnectionId id) {
  for (auto& entry : this->owned) {
    if (entry.second.executor->Owns(id)) return entry.second.executor.get();
  }
  return nullptr;
}

void OwnedMembers::Run(steady_clock::time_point now, const MemberId& member,
                       Job job) {
  this->event_time = now;
  OwnedMember* found = this->Find(member);
  if (found == nullptr) {
    job.reply(NotRun{RefusalCode::kNoOwner, "not an owner of the member"});
    return;
  }
  if (IsPlainRead(job.request) && member != this->primary &&
      !found->executor->IsUnavailable(now)) {
    job.reply = this->WithAgeAtReceipt(job);
    found->gate->Submit(now, std::move(job));
  } else {
    found->executor->Submit(now, std::move(job));
  }
}

/** Converts the age bound of the answer to the data's age when this proxy
 * received the request, which may be negative. The proxy that received the
 * request from the caller adds the time since it sent it. */
ReplyHook OwnedMembers::WithAgeAtReceipt(const Job& job) const {
  return [this, received = job.received,
          reply = job.reply](const Outcome& outcome) {
    const auto* answer = std::get_if<Answered>(&outcome);
    if (answer == nullptr || !answer->age_bound) {
      reply(outcome);
      return;
    }
    Answered adjusted = *answer;
    adjusted.age_bound =
        *answer->age_bound - std::chrono::floor<std::chrono::milliseconds>(
                                 this->event_time - received);
    reply(adjusted);
  };
}

/** A status of the primary is used as a sample only while the lease on its
 * term holds: a replaced primary still reports a position, but no longer the
 * newest. */
void OwnedMembers::OnStatus(const MemberId& member,
                            steady_clock::time_point requested_at,
                            const GroupMemberState& status) {
  if (member != this->primary) {
    this->owned.at(member).gate->OnApplied(requested_at, this->event_time,
                                           status.applied);
    return;
  }
  if (!status.primary || status.term != this->term) return;
  if (!this->answer_gate.Open(this->event_time, this->term)) return;
  this->sampler.OnPrimaryPosition(requested_at, status.durable);
}

bool OwnedMembers::RequestPrimaryStatus(steady_clock::time_point now) {
  OwnedMember* found = this->Find(this->primary);
  if (found == nullptr || found->executor->Connections() == 0) return false;
  found->executor->RequestStatus(now);
  return true;
}

void OwnedMembers::OnProbe(steady_clock::time_point now, const NodeId& from,
                           const ProbedDatabase& probed) {
  this->event_time = now;
  this->sampler.OnProbe(now, from, probed);
}

void OwnedMembers::RequestSample(steady_clock::time_point now,
                                 std::chrono::milliseconds max_age) {
  this->event_time = now;
  // A proxy with a connection to the primary gets a sample with each answer.
  if (this->Find(this->primary) != nullptr) return;
  this->sampler.RequestSamples(now, max_age);
}

void OwnedMembers::OnSample(steady_clock::time_point now,
                            const SampledPosition& sample) {
  this->sampler.OnSample(sample);
  this->UpdateReplicaGates(now);
}

void OwnedMembers::OnPrimaryAnswer(steady_clock::time_point sent_at,
                                   const LogPosition& position) {
  // A proxy without connections keeps samples only while it requests them.
  if (this->owned.empty() && !this->sampler.NextWakeup()) return;
  this->sampler.OnPrimaryAnswer(sent_at, position);
}

void OwnedMembers::OnLease(steady_clock::time_point now,
                           steady_clock::time_point until) {
  this->event_time = now;
  this->answer_gate.SetLease(until);
  for (auto& entry : this->owned) {
    entry.second.executor->OnGateChanged(now, this->answer_gate.ReleasedTerm());
  }
}

void OwnedMembers::ReleaseTerm(steady_clock::time_point now,
                               std::uint64_t released) {
  this->event_time = now;
  this->answer_gate.ReleaseTerm(released);
  for (auto& entry : this->owned) {
    entry.second.executor->OnGateChanged(now, this->answer_gate.ReleasedTerm());
  }
}

void OwnedMembers::RunControlStatement(steady_clock::time_point now,
                                       const MemberId& member,
                                       ControlCall call) {
  this->event_time = now;
  OwnedMember* found = this->Find(member);
  if (found == nullptr) {
    call.reply(std::nullopt);
    return;
  }
  found->executor->RunControlStatement(now, std::move(call));
}

void OwnedMembers::OnOpened(steady_clock::time_point now, ConnectionId id) {
  this->event_time = now;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnOpened(now, id);
}

void OwnedMembers::OnLost(steady_clock::time_point now, ConnectionId id,
                          ConnectionFailure failure) {
  this->event_time = now;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnLost(now, id, failure);
  this->UpdateReplicaGates(now);
}

void OwnedMembers::OnCompleted(steady_clock::time_point now, ConnectionId id,
                               const MemberBatchResult& result) {
  this->event_time = now;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnCompleted(now, id, result);
  this->UpdateReplicaGates(now);
}

void OwnedMembers::UpdateReplicaGates(steady_clock::time_point now) {
  this->event_time = now;
  for (auto& entry : this->owned) {
    if (entry.second.gate->Held() == 0) continue;
    if (entry.second.executor->IsUnavailable(now)) {
      entry.second.gate->Withdraw(now);
    } else {
      entry.second.gate->OnTick(now);
    }
  }
}

void OwnedMembers::OnTick(steady_clock::time_point now) {
  this->event_time = now;
  this->LimitToSeats();
  for (auto& entry : this->owned) entry.second.executor->OnTick(now);
  this->sampler.OnTick(now);
  this->UpdateReplicaGates(now);
}

std::optional<steady_clock::time_point> OwnedMembers::NextSeatEnd(
    const MemberId& member) const {
  std::optional<steady_clock::time_point> next;
  if (this->seats == nullptr) return next;
  const auto found = this->seats->ends.find(member);
  if (found == this->seats->ends.end()) return next;
  for (const steady_clock::time_point end : found->second) {
    if (end > this->event_time && (!next || end < *next)) next = end;
  }
  return next;
}

std::optional<steady_clock::time_point> OwnedMembers::NextWakeup() const {
  std::optional<steady_clock::time_point> next = this->sampler.NextWakeup();
  const auto consider = [&next](std::optional<steady_clock::time_point> time) {
    if (time && (!next || *time < *next)) next = time;
  };
  for (const auto& entry : this->owned) {
    consider(entry.second.executor->NextWakeup());
    consider(entry.second.gate->NextWakeup());
    consider(this->NextSeatEnd(entry.first));
  }
  return next;
}

}  // namespace lacewingferry
