#include "bench/model/fake_group.h"

#include <algorithm>

namespace lacewingferry::model {
namespace {

/** How often a replica asks its primary anew for what it lacks. */
constexpr std::chrono::milliseconds kResyncInterval{100};
/** How often a statement looks whether the row that it waits for is free. */
constexpr std::chrono::microseconds kLockPoll{500};

}  // namespace

bool HasCallerStatement(const MemberBatch& batch) {
  return std::any_of(batch.statements.begin(), batch.statements.end(),
                     [](const MemberStatement& statement) {
                       return statement.kind == MemberStatementKind::kCaller;
                     });
}

FakeGroup::FakeGroup(EventQueue& event_queue, Network& zone_network,
                     FakeGroupOptions group_options)
    : queue(event_queue),
      network(zone_network),
      options(std::move(group_options)) {}

void FakeGroup::AddMember(const MemberInfo& info) {
  FakeMember member;
  member.info = info;
  member.term = 1;
  member.primary = this->members.empty();
  for (const auto& entry : this->members) {
    if (entry.second.primary) member.following = entry.first;
  }
  this->members.emplace(info.id, std::move(member));
}

MemberPort FakeGroup::PortFor(const AvailabilityZone& zone,
                              const MemberEvents* events) {
  return MemberPort{
      [this, zone, events](ConnectionId id, const MemberInfo& info) {
        this->Open(zone, events, id, info);
      },
      [this, events](ConnectionId id, const MemberBatch& batch) {
        this->Execute(events, id, batch);
      },
      [this, events](ConnectionId id) { this->Close(events, id); }};
}

void FakeGroup::Open(const AvailabilityZone& zone, const MemberEvents* events,
                     ConnectionId id, const MemberInfo& info) {
  auto session = std::make_shared<Session>();
  session->member = info.id;
  session->zone = zone;
  session->events = events;
  session->id = id;
  this->sessions[{events, id}] = session;
  this->network.Deliver(zone, info.zone, [this, session] {
    this->WhenAwake(session->member,
                    [this, session] { this->Accept(session); });
  });
}

void FakeGroup::Stall(const MemberId& id,
                      std::chrono::steady_clock::time_point until) {
  this->stalled_until[id] = until;
}

bool FakeGroup::Stalled(const MemberId& id) const {
  const auto found = this->stalled_until.find(id);
  return found != this->stalled_until.end() &&
         this->queue.Now() < found->second;
}

void FakeGroup::WhenAwake(const MemberId& id, std::function<void()> action) {
  if (!this->Stalled(id)) {
    action();
    return;
  }
  const auto until = this->stalled_until.at(id);
  if (until == std::chrono::steady_clock::time_point::max()) return;
  this->queue.At(until, std::move(action));
}

void FakeGroup::Accept(const SessionPtr& session) {
  if (this->sessions.count({session->events, session->id}) == 0) return;
  FakeMember& member = this->members.at(session->member);
  if (!member.alive) {
    this->ReportLost(session, ConnectionFailure::kRefused);
    return;
  }
  std::size_t& open = this->open_count[session->member];
  if (open >= member.info.slots) {
    ++this->turned_away;
    this->ReportLost(session, ConnectionFailure::kTooManyConnections);
    return;
  }
  ++open;
  session->open = true;
  std::size_t& most = this->most_count[session->member];
  most = std::max(most, open);
  this->queue.After(this->options.connect_delay, [this, session] {
    if (!session->open) return;
    const auto zone = this->members.at(session->member).info.zone;
    this->network.Deliver(zone, session->zone, [session] {
      if (session->open) session->events->opened(session->id);
    });
  });
}

void FakeGroup::Execute(const MemberEvents* events, ConnectionId id,
                        const MemberBatch& batch) {
  const auto found = this->sessions.find({events, id});
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  const AvailabilityZone zone = this->members.at(session->member).info.zone;
  auto service = this->options.service_time ? this->options.service_time(batch)
                                            : std::chrono::nanoseconds(0);
  if (this->options.member_delay) {
    service += this->options.member_delay(session->member, batch);
  }
  auto running = std::make_shared<RunningBatch>();
  running->session = session;
  running->batch = batch;
  this->network.Deliver(session->zone, zone, [this, running, service] {
    this->queue.After(service, [this, running] {
      this->WhenAwake(running->session->member,
                      [this, running] { this->RunBatch(running); });
    });
  });
}

void FakeGroup::Close(const MemberEvents* events, ConnectionId id) {
  const auto found = this->sessions.find({events, id});
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  this->sessions.erase(found);
  const AvailabilityZone zone = this->members.at(session->member).info.zone;
  this->network.Deliver(session->zone, zone,
                        [this, session] { this->End(session); });
}

void FakeGroup::End(const SessionPtr& session) {
  if (!session->open) return;
  session->open = false;
  this->RollBack(*session);
  --this->open_count[session->member];
}

void FakeGroup::ReportLost(const SessionPtr& session,
                           ConnectionFailure failure) {
  this->End(session);
  const AvailabilityZone zone = this->members.at(session->member).info.zone;
  this->network.Deliver(zone, session->zone, [this, session, failure] {
    if (this->sessions.erase({session->events, session->id}) > 0) {
      session->events->lost(session->id, failure);
    }
  });
}

void FakeGroup::Kill(const MemberId& id) {
  FakeMember& member = this->members.at(id);
  member.alive = false;
  std::vector<SessionPtr> broken;
  for (const auto& entry : this->sessions) {
    if (entry.second->member == id) broken.push_back(entry.second);
  }
  for (const SessionPtr& session : broken) {
    this->ReportLost(session, ConnectionFailure::kLost);
  }
}

void FakeGroup::Restart(const MemberId& id) {
  FakeMember& member = this->members.at(id);
  member.alive = true;
  member.replicas.clear();
}

void FakeGroup::BreakConnectionsOf(const MemberEvents* events) {
  std::vector<SessionPtr> broken;
  for (const auto& entry : this->sessions) {
    if (entry.first.first == events) broken.push_back(entry.second);
  }
  for (const SessionPtr& session : broken) {
    this->sessions.erase({events, session->id});
    this->queue.After(this->options.notice_delay,
                      [this, session] { this->End(session); });
  }
}

bool FakeGroup::Fence(const MemberId& id, std::uint64_t term) {
  if (!this->members.at(id).Fence(term)) return false;
  for (const auto& entry : this->sessions) {
    Session& session = *entry.second;
    if (session.member != id || session.puts.empty()) continue;
    session.puts.clear();
    session.demoted = true;
  }
  return true;
}

bool FakeGroup::Promote(const MemberId& id, std::uint64_t term) {
  return this->members.at(id).Promote(term);
}

bool FakeGroup::Follow(const MemberId& id, std::uint64_t term,
                       const MemberId& primary) {
  if (!this->members.at(id).Follow(term, primary)) return false;
  this->Resync(primary, id, term);
  return true;
}

void FakeGroup::RunBatch(const RunningBatchPtr& running) {
  Session& session = *running->session;
  if (!session.open) return;
  while (running->next < running->batch.statements.size()) {
    const MemberStatement& statement = running->batch.statements[running->next];
    if (this->Blocked(session, statement)) {
      this->queue.After(kLockPoll,
                        [this, running] { this->RunBatch(running); });
      return;
    }
    MemberResult result;
    running->result.error = this->RunStatement(session, statement, result);
    if (running->result.error) {
      session.failed = session.in_transaction;
      break;
    }
    running->result.results.push_back(std::move(result));
    ++running->next;
  }
  this->Answer(running);
}

void FakeGroup::Answer(const RunningBatchPtr& running) {
  const SessionPtr& session = running->session;
  const auto zone = this->members.at(session->member).info.zone;
  this->network.Deliver(zone, session->zone, [running] {
    const Session& target = *running->session;
    if (target.open) target.events->completed(target.id, running->result);
  });
}

void FakeGroup::CommitOpen(Session& session, FakeMember& member) {
  session.in_transaction = false;
  if (session.puts.empty()) return;
  member.Commit(std::move(session.puts));
  session.puts.clear();
  if (this->options.on_commit) {
    this->options.on_commit(member.info.id, member.log.back());
  }
  this->Replicate(member.info.id);
}

void FakeGroup::Replicate(const MemberId& primary) {
  const FakeMember& source = this->members.at(primary);
  for (const auto& entry : this->members) {
    if (entry.second.following != primary) continue;
    this->network.Deliver(source.info.zone, entry.second.info.zone,
                          [this, primary, replica = entry.first,
                           term = source.term, count = source.log.size()] {
                            this->Deliver(primary, replica, term, count);
                          });
  }
}

void FakeGroup::Resync(const MemberId& primary, const MemberId& replica,
                       std::uint64_t term) {
  this->Deliver(primary, replica, term, this->members.at(primary).log.size());
}

void FakeGroup::Deliver(const MemberId& primary, const MemberId& replica,
                        std::uint64_t term, std::size_t count) {
  FakeMember& source = this->members.at(primary);
  FakeMember& target = this->members.at(replica);
  const bool streams =
      source.alive && target.alive && !this->Stalled(primary) &&
      !this->Stalled(replica) && source.primary && source.term == term &&
      target.term == term && target.following == primary &&
      this->network.Reaches(source.info.zone, target.info.zone) &&
      (!this->options.streams || this->options.streams(replica));
  if (!streams) {
    // Tries again while the replica still wants this primary's log.
    if (target.following == primary && target.term == term) {
      this->queue.After(kResyncInterval, [this, primary, replica, term] {
        this->Resync(primary, replica, term);
      });
    }
    return;
  }
  // A message that a later one has overtaken takes nothing away.
  count = std::max(count, target.CommonWith(source.log));
  target.CopyLog({source.log.begin(),
                  source.log.begin() + static_cast<std::ptrdiff_t>(count)});
  const auto lag = this->options.apply_lag ? this->options.apply_lag(replica)
                                           : std::chrono::nanoseconds(0);
  this->queue.After(lag, [this, replica, count, epoch = target.history_epoch] {
    FakeMember& member = this->members.at(replica);
    if (member.history_epoch == epoch) member.ApplyTo(count);
  });
  const FakeReplicaReport report{term, target.Durable(), target.Applied()};
  this->network.Deliver(target.info.zone, source.info.zone,
                        [this, primary, replica, report] {
                          this->Acknowledge(primary, replica, report);
                        });
}

void FakeGroup::Acknowledge(const MemberId& primary, const MemberId& replica,
                            const FakeReplicaReport& report) {
  FakeMember& source = this->members.at(primary);
  if (!source.primary || source.term != report.term) return;
  FakeReplicaReport& known = source.replicas[replica];
  if (known.term == report.term && report.durable < known.durable) return;
  known = report;
}

std::size_t FakeGroup::OpenConnections(const MemberId& id) const {
  const auto found = this->open_count.find(id);
  return found == this->open_count.end() ? 0 : found->second;
}

std::size_t FakeGroup::MostConnections(const MemberId& id) const {
  const auto found = this->most_count.find(id);
  return found == this->most_count.end() ? 0 : found->second;
}

}  // namespace lacewingferry::model
