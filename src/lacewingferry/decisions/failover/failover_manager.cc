#include "lacewingferry/decisions/failover/failover_manager.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The interval between two checks for databases whose leases are no longer
 * renewed. */
constexpr milliseconds kHolderCheckInterval{50};

const DatabaseId& DatabaseOf(const DatabaseCommand& command) {
  return std::visit(
      [](const auto& body) -> const DatabaseId& { return body.database; },
      command.body);
}

}  // namespace

FailoverManager::FailoverManager(const DatabaseTerms& terms,
                                 FailoverHooks failover_hooks,
                                 FailoverSettings settings)
    : context{std::move(failover_hooks), settings, terms},
      grantor(terms, settings.lease),
      command_sender(this->context),
      changes(this->context, this->command_sender, this->grantor) {}

template <typename Action>
void FailoverManager::HandleInput(steady_clock::time_point now, Action action) {
  this->handling_input = true;
  action();
  while (!this->applied_commands.empty()) {
    const AppliedCommand next = std::move(this->applied_commands.front());
    this->applied_commands.pop_front();
    if (next.result != ApplyResult::kApplied) continue;
    this->HandleApplied(now, next.command);
  }
  this->handling_input = false;
}

void FailoverManager::OnApplied(steady_clock::time_point now,
                                const DatabaseCommand& command,
                                ApplyResult result) {
  this->applied_commands.push_back(AppliedCommand{command, result});
  if (!this->handling_input) this->HandleInput(now, [] {});
}

void FailoverManager::OnLeadership(steady_clock::time_point now, bool leads) {
  this->leader = leads;
  this->grantor.OnLeadership(now, leads);
  this->command_sender.CancelAll();
  this->changes.OnLeadership(now);
  this->procedures.clear();
  this->inquiries.clear();
  this->hold_downs.clear();
  this->next_rejoin.clear();
  if (!leads) return;
  // Lease holders need time to find the new leader.
  this->next_holder_check = now + this->context.settings.holder_timeout;
  this->published_revision = this->context.terms.Revision();
  for (const auto& item : this->context.terms.Databases()) {
    if (item.second.phase != TermPhase::kSteady) {
      this->StartProcedure(now, item.second);
    }
  }
}

void FailoverManager::StartProcedure(steady_clock::time_point now,
                                     const DatabaseTerm& entry) {
  this->command_sender.CancelBefore(entry.database, entry.term);
  const FailoverDependencies dependencies{this->context, this->command_sender,
                                          this->grantor};
  this->procedures[entry.database] =
      std::make_unique<FailoverProcedure>(now, dependencies, entry);
}

void FailoverManager::HandleApplied(steady_clock::time_point now,
                                    const DatabaseCommand& command) {
  if (!this->leader) return;
  this->Publish(
      std::exchange(this->published_revision, this->context.terms.Revision()));
  const DatabaseTerm& entry = *this->context.terms.Find(DatabaseOf(command));
  if (std::holds_alternative<BeginTerm>(command.body)) {
    this->Record(EventCode::kTermBegun, EventLevel::kWarning, entry,
                 std::get<BeginTerm>(command.body).reason);
    this->inquiries.erase(entry.database);
    this->StartProcedure(now, entry);
  } else if (std::holds_alternative<AdoptDatabase>(command.body)) {
    this->Record(EventCode::kDatabaseAdopted, EventLevel::kInfo, entry, "");
  } else if (const auto* add = std::get_if<AddMember>(&command.body)) {
    this->Record(EventCode::kMembersChanged, EventLevel::kInfo, entry,
                 "added " + add->member.Value());
  } else if (const auto* remove = std::get_if<RemoveMember>(&command.body)) {
    this->Record(EventCode::kMembersChanged, EventLevel::kInfo, entry,
                 "removed " + remove->member.Value());
  } else {
    const bool chosen = entry.phase == TermPhase::kPromoting;
    this->Record(
        chosen ? EventCode::kPrimaryChosen : EventCode::kPrimaryConfirmed,
        chosen ? EventLevel::kWarning : EventLevel::kInfo, entry, "");
    this->hold_downs[entry.database] = now + this->context.settings.hold_down;
    const auto found = this->procedures.find(entry.database);
    if (found != this->procedures.end()) found->second->OnPhase(now, entry);
  }
}

void FailoverManager::Publish(std::uint64_t from_revision) {
  const ClusterUpdate update{from_revision, this->context.terms.Revision(),
                             this->context.terms.ChangedSince(from_revision)};
  for (const NodeId& proxy : this->context.hooks.proxies()) {
    this->context.hooks.send(proxy, update);
  }
}

void FailoverManager::OnUpdateRequest(const NodeId& from,
                                      const ClusterUpdateRequest& request) {
  const std::uint64_t revision = this->context.terms.Revision();
  if (request.revision >= revision) return;
  this->context.hooks.send(
      from, ClusterUpdate{request.revision, revision,
                          this->context.terms.ChangedSince(request.revision)});
}

bool FailoverManager::OnMessage(steady_clock::time_point now,
                                const NodeId& from, const PeerBody& body) {
  bool known = false;
  this->HandleInput(now, [&] { known = this->Dispatch(now, from, body); });
  return known;
}

bool FailoverManager::Dispatch(steady_clock::time_point now, const NodeId& from,
                               const PeerBody& body) {
  if (const auto* request = std::get_if<ClusterUpdateRequest>(&body)) {
    this->OnUpdateRequest(from, *request);
  } else if (const auto* renewal = std::get_if<LeaseRenewal>(&body)) {
    this->OnRenewal(now, from, *renewal);
  } else if (const auto* released = std::get_if<LeaseReleased>(&body)) {
    this->OnReleased(now, from, *released);
  } else if (const auto* suspicion = std::get_if<PrimarySuspicion>(&body)) {
    this->OnSuspicion(now, from, *suspicion);
  } else if (const auto* reply = std::get_if<ObserveReply>(&body)) {
    this->OnObserveReply(now, *reply);
  } else if (const auto* result = std::get_if<MemberCommandResult>(&body)) {
    if (this->leader) this->command_sender.OnResult(now, *result);
  } else {
    return false;
  }
  return true;
}

void FailoverManager::OnRenewal(steady_clock::time_point now,
                                const NodeId& from,
                                const LeaseRenewal& renewal) {
  const auto grant = this->grantor.OnRenewal(now, from, renewal);
  if (grant) this->context.hooks.send(from, *grant);
}

void FailoverManager::OnReleased(steady_clock::time_point now,
                                 const NodeId& from,
                                 const LeaseReleased& released) {
  if (!this->leader) return;
  this->grantor.OnReleased(now, from, released);
  const auto found = this->procedures.find(released.database);
  if (found != this->procedures.end()) found->second->OnLeaseReleased(now);
}

void FailoverManager::OnSuspicion(steady_clock::time_point now,
                                  const NodeId& from,
                                  const PrimarySuspicion& suspicion) {
  if (!this->leader) return;
  const DatabaseTerm* entry = this->context.terms.Find(suspicion.database);
  if (entry == nullptr || entry->term != suspicion.term ||
      entry->primary != suspicion.primary) {
    return;
  }
  const auto hold = this->hold_downs.find(entry->database);
  const bool refused = suspicion.sight == MemberSight::kRefuses;
  if (!refused && hold != this->hold_downs.end() && now < hold->second) return;
  this->OpenInquiry(now, *entry, from.Value().c_str());
}

void FailoverManager::OpenInquiry(steady_clock::time_point now,
                                  const DatabaseTerm& entry,
                                  const char* reason) {
  if (this->inquiries.count(entry.database) > 0) return;
  this->Record(EventCode::kPrimarySuspected, EventLevel::kWarning, entry,
               reason);
  this->inquiries.emplace(
      std::piecewise_construct, std::forward_as_tuple(entry.database),
      std::forward_as_tuple(now, this->context, entry, this->next_inquiry++));
}

void FailoverManager::OnObserveReply(steady_clock::time_point now,
                                     const ObserveReply& reply) {
  const auto found = this->inquiries.find(reply.database);
  if (!this->leader || found == this->inquiries.end()) return;
  found->second.OnReply(reply);
  this->FinishInquiry(now, reply.database);
}

void FailoverManager::FinishInquiry(steady_clock::time_point now,
                                    const DatabaseId& database) {
  const auto found = this->inquiries.find(database);
  const InquiryResult result = found->second.Result();
  const std::uint64_t term = found->second.Term();
  if (result == InquiryResult::kPending) return;
  this->inquiries.erase(found);
  this->hold_downs[database] = now + this->context.settings.hold_down;
  const DatabaseTerm* entry = this->context.terms.Find(database);
  if (entry == nullptr || entry->term != term) return;
  const bool lost = result == InquiryResult::kLost;
  this->Record(EventCode::kInquiryEnded, EventLevel::kInfo, *entry,
               lost ? "lost" : "loss not proven");
  if (!lost) return;
  this->context.hooks.propose(
      now, DatabaseCommand{BeginTerm{database, term, term + 1,
                                     "a majority lost the primary"}});
}

void FailoverManager::CheckLeaseHolders(steady_clock::time_point now) {
  const FailoverSettings& settings = this->context.settings;
  for (const auto& item : this->context.terms.Databases()) {
    const DatabaseTerm& entry = item.second;
    if (entry.phase == TermPhase::kElecting) continue;
    const auto last = this->grantor.LastRenewal(entry.database);
    if (last && now - *last < settings.holder_timeout) continue;
    const auto hold = this->hold_downs.find(entry.database);
    if (hold != this->hold_downs.end() && now < hold->second) continue;
    this->OpenInquiry(now, entry, "no lease on the term was renewed in time");
  }
}

void FailoverManager::OnAnnouncement(steady_clock::time_point now,
                                     const MemberAnnouncement& announcement) {
  const MemberAnnouncement* known =
      this->context.FindMember(announcement.info.id);
  // An announcement equal to the last one is processed too, since an action
  // that it requires may have been postponed.
  if (known != nullptr &&
      std::tie(announcement.incarnation, announcement.sequence) <
          std::tie(known->incarnation, known->sequence)) {
    return;
  }
  this->context.members[announcement.info.id] = announcement;
  this->changes.OnHeard(now, announcement.info);
  if (!this->leader) return;
  this->HandleInput(now, [&] {
    this->changes.Advance(now, announcement.info.database);
    this->RejoinIfNeeded(now, announcement);
  });
}

void FailoverManager::RejoinIfNeeded(steady_clock::time_point now,
                                     const MemberAnnouncement& announcement) {
  const DatabaseTerm* entry =
      this->context.terms.Find(announcement.info.database);
  const MemberId& id = announcement.info.id;
  if (entry == nullptr || entry->phase != TermPhase::kSteady) return;
  if (id == entry->primary) return;
  // A server that is not a member is left alone unless it can replace a missing
  // or lost member.
  if (!entry->HasMember(id) && !this->changes.NeedsMember(now, *entry)) return;
  const MemberAnnouncement* primary = this->context.FindMember(entry->primary);
  if (primary == nullptr) return;
  // The log of a member that was fenced but never told to follow ends in an
  // earlier term, while the primary writes in the current one.
  const bool left_behind = announcement.position.term < entry->term &&
                           primary->position.term == entry->term;
  if (announcement.term >= entry->term && !announcement.primary &&
      !left_behind) {
    return;
  }
  auto& next = this->next_rejoin[id];
  if (now < next) return;
  next = now + this->context.settings.rejoin_retry_interval;
  this->StartRejoin(now, announcement, *entry);
}

void FailoverManager::StartRejoin(steady_clock::time_point now,
                                  const MemberAnnouncement& announcement,
                                  const DatabaseTerm& entry) {
  this->Record(EventCode::kMemberOrdered, EventLevel::kInfo, entry,
               announcement.info.id.Value());
  MemberCommand command;
  command.database = entry.database;
  command.member = announcement.info;
  command.kind = MemberCommandKind::kFence;
  command.term = entry.term;
  this->command_sender.Start(
      now, command,
      [this, command](steady_clock::time_point at,
                      const MemberCommandResult& fenced) {
        const DatabaseTerm* current =
            this->context.terms.Find(command.database);
        if (!fenced.answered || current->term != command.term) return;
        if (fenced.accepted && fenced.position > current->start &&
            fenced.position.term < current->term) {
          this->Record(EventCode::kTailDropped, EventLevel::kWarning, *current,
                       command.member.id.Value());
        }
        MemberCommand follow = command;
        follow.kind = MemberCommandKind::kFollow;
        follow.primary_log =
            this->context.FindMember(current->primary)->replication_endpoint;
        this->command_sender.Start(at, follow, [](auto, const auto&) {});
      });
}

void FailoverManager::Record(EventCode code, EventLevel level,
                             const DatabaseTerm& entry,
                             const std::string& detail) {
  this->context.hooks.events.record(Event{code,
                                          level,
                                          {{"database", entry.database.Value()},
                                           {"term", std::to_string(entry.term)},
                                           {"primary", entry.primary.Value()},
                                           {"detail", detail}}});
}

void FailoverManager::OnTick(steady_clock::time_point now) {
  if (!this->leader) return;
  this->HandleInput(now, [&] { this->RunTimers(now); });
}

void FailoverManager::RunTimers(steady_clock::time_point now) {
  this->command_sender.OnTick(now);
  std::vector<DatabaseId> open;
  for (const auto& item : this->inquiries) open.push_back(item.first);
  for (const DatabaseId& database : open) {
    this->inquiries.at(database).OnTick(now);
    this->FinishInquiry(now, database);
  }
  for (auto it = this->procedures.begin(); it != this->procedures.end();) {
    it->second->OnTick(now);
    if (it->second->Finished(now)) {
      this->command_sender.CancelBefore(it->first, it->second->Term() + 1);
      it = this->procedures.erase(it);
    } else {
      ++it;
    }
  }
  if (now < this->next_holder_check) return;
  this->next_holder_check = now + kHolderCheckInterval;
  this->CheckLeaseHolders(now);
}

std::optional<steady_clock::time_point> FailoverManager::NextWakeup() const {
  if (!this->leader) return std::nullopt;
  steady_clock::time_point next = this->next_holder_check;
  if (const auto command = this->command_sender.NextWakeup()) {
    next = std::min(next, *command);
  }
  for (const auto& item : this->inquiries) {
    next = std::min(next, item.second.NextWakeup());
  }
  for (const auto& item : this->procedures) {
    next = std::min(next, item.second->NextWakeup());
  }
  return next;
}

}  // namespace lacewingferry
