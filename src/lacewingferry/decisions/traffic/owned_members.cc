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
      [this](const NodeId& node, const ProbedDatabase& question) {
        this->hooks.send(node, PositionProbe{{question}});
      },
      [this](const NodeId& node, const SampledPosition& answer) {
        this->hooks.send(node, PositionSample{{answer}});
      },
      [this](steady_clock::time_point at) { return this->AskPrimary(at); }};
}

OwnedMembers::Owned OwnedMembers::MakeOwned(const MemberId& member) {
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
  executor_hooks.on_status = [this, member](steady_clock::time_point asked_at,
                                            const GroupMemberState& status) {
    this->OnStatus(member, asked_at, status);
  };
  executor_hooks.age_of = [this](const LogPosition& position) {
    return this->AgeOf(position);
  };
  Owned made;
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
            at, [this] { return this->now; }, std::move(job.reply));
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

void OwnedMembers::Configure(steady_clock::time_point present,
                             const DatabaseView* view) {
  this->now = present;
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
    entry.second.gate->Withdraw(present);
    entry.second.executor->OnMemberRemoved(present);
  }
}

void OwnedMembers::ConfigureMember(const RoutedMember& member) {
  const MemberId& id = member.info.id;
  const bool leads = id == this->primary;
  if (leads) {
    std::vector<NodeId> owners;
    for (const SlotShare& share : member.owners) owners.push_back(share.owner);
    this->sampler.SetPrimaryOwners(std::move(owners));
  }
  const std::uint32_t share = ShareOf(member, this->settings.node);
  auto found = this->owned.find(id);
  if (found == this->owned.end()) {
    if (share == 0) return;
    found = this->owned.emplace(id, this->MakeOwned(id)).first;
    found->second.executor->LimitConnections(this->now, this->SeatsOf(id));
  }
  if (share == 0 || leads) found->second.gate->Withdraw(this->now);
  found->second.executor->Configure(
      this->now, ExecutorRole{member.info, share, leads, this->term,
                              this->group_size, this->counted_members});
}

std::optional<std::chrono::nanoseconds> OwnedMembers::AgeOf(
    const LogPosition& position) const {
  const auto complete = this->sampler.Samples().CompleteUntil(position);
  if (!complete) return std::nullopt;
  return this->now - *complete;
}

OwnedMembers::Owned* OwnedMembers::Find(const MemberId& member) {
  const auto found = this->owned.find(member);
  return found == this->owned.end() ? nullptr : &found->second;
}

MemberExecutor* OwnedMembers::Find(ConnectionId id) {
  for (auto& entry : this->owned) {
    if (entry.second.executor->Owns(id)) return entry.second.executor.get();
  }
  return nullptr;
}

void OwnedMembers::Run(steady_clock::time_point present, const MemberId& member,
                       Job job) {
  this->now = present;
  Owned* found = this->Find(member);
  if (found == nullptr) {
    job.reply(NotRun{RefusalCode::kNoOwner, "not an owner of the member"});
    return;
  }
  if (IsPlainRead(job.request) && member != this->primary &&
      !found->executor->IsUnavailable(present)) {
    job.reply = this->WithAgeAtReceipt(job);
    found->gate->Submit(present, std::move(job));
  } else {
    found->executor->Submit(present, std::move(job));
  }
}

/** The age of the data at the request's receipt, which may be below zero. The
 * proxy that received the request adds the time since it sent it. */
ReplyHook OwnedMembers::WithAgeAtReceipt(const Job& job) const {
  return [this, received = job.received,
          reply = job.reply](const Outcome& outcome) {
    const auto* answer = std::get_if<Answered>(&outcome);
    if (answer == nullptr || !answer->age_bound) {
      reply(outcome);
      return;
    }
    Answered told = *answer;
    told.age_bound =
        *answer->age_bound -
        std::chrono::floor<std::chrono::milliseconds>(this->now - received);
    reply(told);
  };
}

/** A status of the primary is a sample only while the lease on its term holds:
 * a replaced primary goes on telling a position that is no longer the newest.
 */
void OwnedMembers::OnStatus(const MemberId& member,
                            steady_clock::time_point asked_at,
                            const GroupMemberState& status) {
  if (member != this->primary) {
    this->owned.at(member).gate->OnApplied(asked_at, this->now, status.applied);
    return;
  }
  if (!status.primary || status.term != this->term) return;
  if (!this->answer_gate.Open(this->now, this->term)) return;
  this->sampler.OnPrimaryPosition(asked_at, status.durable);
}

bool OwnedMembers::AskPrimary(steady_clock::time_point present) {
  Owned* found = this->Find(this->primary);
  if (found == nullptr || found->executor->Connections() == 0) return false;
  found->executor->RequestStatus(present);
  return true;
}

void OwnedMembers::OnProbe(steady_clock::time_point present, const NodeId& from,
                           const ProbedDatabase& question) {
  this->now = present;
  this->sampler.OnProbe(present, from, question);
}

void OwnedMembers::WantSample(steady_clock::time_point present,
                              std::chrono::milliseconds max_age) {
  this->now = present;
  // An owner of the primary samples it with each answer.
  if (this->Find(this->primary) != nullptr) return;
  this->sampler.RequestSamples(present, max_age);
}

void OwnedMembers::OnSample(steady_clock::time_point present,
                            const SampledPosition& sample) {
  this->sampler.OnSample(sample);
  this->Settle(present);
}

void OwnedMembers::OnPrimaryAnswer(steady_clock::time_point sent_at,
                                   const LogPosition& position) {
  // A proxy without a connection keeps samples only while it has use for them.
  if (this->owned.empty() && !this->sampler.NextWakeup()) return;
  this->sampler.OnPrimaryAnswer(sent_at, position);
}

void OwnedMembers::OnLease(steady_clock::time_point present,
                           steady_clock::time_point until) {
  this->now = present;
  this->answer_gate.SetLease(until);
  for (auto& entry : this->owned) {
    entry.second.executor->OnGateChanged(present,
                                         this->answer_gate.ReleasedTerm());
  }
}

void OwnedMembers::ReleaseTerm(steady_clock::time_point present,
                               std::uint64_t released) {
  this->now = present;
  this->answer_gate.ReleaseTerm(released);
  for (auto& entry : this->owned) {
    entry.second.executor->OnGateChanged(present,
                                         this->answer_gate.ReleasedTerm());
  }
}

void OwnedMembers::RunControlStatement(steady_clock::time_point present,
                                       const MemberId& member,
                                       ControlCall call) {
  this->now = present;
  Owned* found = this->Find(member);
  if (found == nullptr) {
    call.reply(std::nullopt);
    return;
  }
  found->executor->RunControlStatement(present, std::move(call));
}

void OwnedMembers::OnOpened(steady_clock::time_point present, ConnectionId id) {
  this->now = present;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnOpened(present, id);
}

void OwnedMembers::OnLost(steady_clock::time_point present, ConnectionId id,
                          ConnectionFailure failure) {
  this->now = present;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnLost(present, id, failure);
  this->Settle(present);
}

void OwnedMembers::OnCompleted(steady_clock::time_point present,
                               ConnectionId id,
                               const MemberBatchResult& result) {
  this->now = present;
  MemberExecutor* executor = this->Find(id);
  if (executor != nullptr) executor->OnCompleted(present, id, result);
  this->Settle(present);
}

void OwnedMembers::Settle(steady_clock::time_point present) {
  this->now = present;
  for (auto& entry : this->owned) {
    if (entry.second.gate->Held() == 0) continue;
    if (entry.second.executor->IsUnavailable(present)) {
      entry.second.gate->Withdraw(present);
    } else {
      entry.second.gate->OnTick(present);
    }
  }
}

void OwnedMembers::OnTick(steady_clock::time_point present) {
  this->now = present;
  this->LimitToSeats();
  for (auto& entry : this->owned) entry.second.executor->OnTick(present);
  this->sampler.OnTick(present);
  this->Settle(present);
}

std::optional<steady_clock::time_point> OwnedMembers::NextSeatEnd(
    const MemberId& member) const {
  std::optional<steady_clock::time_point> next;
  if (this->seats == nullptr) return next;
  const auto found = this->seats->ends.find(member);
  if (found == this->seats->ends.end()) return next;
  for (const steady_clock::time_point end : found->second) {
    if (end > this->now && (!next || end < *next)) next = end;
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
