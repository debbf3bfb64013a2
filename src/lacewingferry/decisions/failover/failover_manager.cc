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

/** The pause between two looks for holders that fell silent. */
constexpr milliseconds kSweepPause{50};

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
      commander(this->context),
      changes(this->context, this->commander, this->grantor) {}

template <typename Action>
void FailoverManager::Handle(steady_clock::time_point now, Action action) {
  this->handling = true;
  action();
  while (!this->applied.empty()) {
    const Applied next = std::move(this->applied.front());
    this->applied.pop_front();
    if (next.verdict != CommandVerdict::kApplied) continue;
    this->TakeApplied(now, next.command);
  }
  this->handling = false;
}

void FailoverManager::OnApplied(steady_clock::time_point now,
                                const DatabaseCommand& command,
                                CommandVerdict verdict) {
  this->applied.push_back(Applied{command, verdict});
  if (!this->handling) this->Handle(now, [] {});
}

void FailoverManager::OnLeadership(steady_clock::time_point now, bool leads) {
  this->leader = leads;
  this->grantor.OnLeadership(now, leads);
  this->commander.CancelAll();
  this->changes.OnLeadership(now);
  this->runs.clear();
  this->inquiries.clear();
  this->held_down.clear();
  this->next_rejoin.clear();
  if (!leads) return;
  // Holders get time to find the new leader.
  this->next_sweep = now + this->context.settings.holder_silence;
  this->published_revision = this->context.terms.Revision();
  for (const auto& item : this->context.terms.Databases()) {
    if (item.second.phase != TermPhase::kSteady) {
      this->StartRun(now, item.second);
    }
  }
}

void FailoverManager::StartRun(steady_clock::time_point now,
                               const DatabaseTerm& entry) {
  this->commander.CancelBefore(entry.database, entry.term);
  const FailoverParts parts{this->context, this->commander, this->grantor};
  this->runs[entry.database] = std::make_unique<FailoverRun>(now, parts, entry);
}

void FailoverManager::TakeApplied(steady_clock::time_point now,
                                  const DatabaseCommand& command) {
  if (!this->leader) return;
  this->Publish(
      std::exchange(this->published_revision, this->context.terms.Revision()));
  const DatabaseTerm& entry = *this->context.terms.Find(DatabaseOf(command));
  if (std::holds_alternative<BeginTerm>(command.body)) {
    this->Record(EventCode::kTermBegun, EventLevel::kWarning, entry,
                 std::get<BeginTerm>(command.body).reason);
    this->inquiries.erase(entry.database);
    this->StartRun(now, entry);
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
    this->held_down[entry.database] = now + this->context.settings.hold_down;
    const auto run = this->runs.find(entry.database);
    if (run != this->runs.end()) run->second->OnPhase(now, entry);
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
  this->Handle(now, [&] { known = this->Dispatch(now, from, body); });
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
    if (this->leader) this->commander.OnResult(now, *result);
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
  const auto run = this->runs.find(released.database);
  if (run != this->runs.end()) run->second->OnLeaseReleased(now);
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
  const auto held = this->held_down.find(entry->database);
  const bool refused = suspicion.sight == MemberSight::kRefuses;
  if (!refused && held != this->held_down.end() && now < held->second) return;
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
  this->SettleInquiry(now, reply.database);
}

void FailoverManager::SettleInquiry(steady_clock::time_point now,
                                    const DatabaseId& database) {
  const auto found = this->inquiries.find(database);
  const InquiryVerdict verdict = found->second.Verdict();
  const std::uint64_t term = found->second.Term();
  if (verdict == InquiryVerdict::kOpen) return;
  this->inquiries.erase(found);
  this->held_down[database] = now + this->context.settings.hold_down;
  const DatabaseTerm* entry = this->context.terms.Find(database);
  if (entry == nullptr || entry->term != term) return;
  const bool lost = verdict == InquiryVerdict::kLost;
  this->Record(EventCode::kInquiryEnded, EventLevel::kInfo, *entry,
               lost ? "lost" : "not proven");
  if (!lost) return;
  this->context.hooks.propose(
      now, DatabaseCommand{BeginTerm{database, term, term + 1,
                                     "a majority lost the primary"}});
}

void FailoverManager::LookForSilentHolders(steady_clock::time_point now) {
  const FailoverSettings& settings = this->context.settings;
  for (const auto& item : this->context.terms.Databases()) {
    const DatabaseTerm& entry = item.second;
    if (entry.phase == TermPhase::kElecting) continue;
    const auto last = this->grantor.LastRenewal(entry.database);
    if (last && now - *last < settings.holder_silence) continue;
    const auto held = this->held_down.find(entry.database);
    if (held != this->held_down.end() && now < held->second) continue;
    this->OpenInquiry(now, entry, "all holders of the term are silent");
  }
}

void FailoverManager::OnAnnouncement(steady_clock::time_point now,
                                     const MemberAnnouncement& announcement) {
  const MemberAnnouncement* known =
      this->context.FindMember(announcement.info.id);
  // An equal one is a reminder: what it calls for may have had to wait.
  if (known != nullptr &&
      std::tie(announcement.incarnation, announcement.sequence) <
          std::tie(known->incarnation, known->sequence)) {
    return;
  }
  this->context.members[announcement.info.id] = announcement;
  this->changes.OnHeard(now, announcement.info);
  if (!this->leader) return;
  this->Handle(now, [&] {
    this->changes.Consider(now, announcement.info.database);
    this->BringBack(now, announcement);
  });
}

void FailoverManager::BringBack(steady_clock::time_point now,
                                const MemberAnnouncement& announcement) {
  const DatabaseTerm* entry =
      this->context.terms.Find(announcement.info.database);
  const MemberId& id = announcement.info.id;
  if (entry == nullptr || entry->phase != TermPhase::kSteady) return;
  if (id == entry->primary) return;
  // A stranger is left alone unless it can take a member's place.
  if (!entry->HasMember(id) && !this->changes.HasRoom(now, *entry)) return;
  const MemberAnnouncement* primary = this->context.FindMember(entry->primary);
  if (primary == nullptr) return;
  // A member that was fenced and never told to follow stays in the log's
  // earlier term while the primary writes in the current one.
  const bool left_behind = announcement.position.term < entry->term &&
                           primary->position.term == entry->term;
  if (announcement.term >= entry->term && !announcement.primary &&
      !left_behind) {
    return;
  }
  auto& next = this->next_rejoin[id];
  if (now < next) return;
  next = now + this->context.settings.rejoin_pause;
  this->OrderToRejoin(now, announcement, *entry);
}

void FailoverManager::OrderToRejoin(steady_clock::time_point now,
                                    const MemberAnnouncement& announcement,
                                    const DatabaseTerm& entry) {
  this->Record(EventCode::kMemberOrdered, EventLevel::kInfo, entry,
               announcement.info.id.Value());
  MemberCommand command;
  command.database = entry.database;
  command.member = announcement.info;
  command.kind = MemberCommandKind::kFence;
  command.term = entry.term;
  this->commander.Start(
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
        this->commander.Start(at, follow, [](auto, const auto&) {});
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
  this->Handle(now, [&] { this->RunDue(now); });
}

void FailoverManager::RunDue(steady_clock::time_point now) {
  this->commander.OnTick(now);
  std::vector<DatabaseId> open;
  for (const auto& item : this->inquiries) open.push_back(item.first);
  for (const DatabaseId& database : open) {
    this->inquiries.at(database).OnTick(now);
    this->SettleInquiry(now, database);
  }
  for (auto it = this->runs.begin(); it != this->runs.end();) {
    it->second->OnTick(now);
    if (it->second->Finished(now)) {
      this->commander.CancelBefore(it->first, it->second->Term() + 1);
      it = this->runs.erase(it);
    } else {
      ++it;
    }
  }
  if (now < this->next_sweep) return;
  this->next_sweep = now + kSweepPause;
  this->LookForSilentHolders(now);
}

std::optional<steady_clock::time_point> FailoverManager::NextWakeup() const {
  if (!this->leader) return std::nullopt;
  steady_clock::time_point next = this->next_sweep;
  if (const auto command = this->commander.NextWakeup()) {
    next = std::min(next, *command);
  }
  for (const auto& item : this->inquiries) {
    next = std::min(next, item.second.NextWakeup());
  }
  for (const auto& item : this->runs) {
    next = std::min(next, item.second->NextWakeup());
  }
  return next;
}

}  // namespace lacewingferry
