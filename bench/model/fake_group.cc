#include "bench/model/fake_group.h"

#include <algorithm>

namespace lacewingferry::model {
namespace {

/** How often a replica asks its primary anew for what it lacks. */
constexpr std::chrono::milliseconds kResyncInterval{100};

}  // namespace

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
      [this, events](ConnectionId id, const SqlBatch& batch) {
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
  this->network.Deliver(zone, info.zone,
                        [this, session] { this->Accept(session); });
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
                        const SqlBatch& batch) {
  const auto found = this->sessions.find({events, id});
  if (found == this->sessions.end()) return;
  const SessionPtr session = found->second;
  const AvailabilityZone zone = this->members.at(session->member).info.zone;
  const auto service = this->options.service_time
                           ? this->options.service_time(batch)
                           : std::chrono::nanoseconds(0);
  this->network.Deliver(
      session->zone, zone, [this, session, batch, service, zone] {
        this->queue.After(service, [this, session, batch, zone] {
          if (!session->open) return;
          const BatchResult result = this->RunBatch(*session, batch);
          this->network.Deliver(zone, session->zone, [session, result] {
            if (session->open) session->events->completed(session->id, result);
          });
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
    this->End(session);
  }
}

bool FakeGroup::Fence(const MemberId& id, std::uint64_t term) {
  return this->members.at(id).Fence(term);
}

bool FakeGroup::Promote(const MemberId& id, std::uint64_t term) {
  return this->members.at(id).Promote(term);
}

bool FakeGroup::Follow(const MemberId& id, std::uint64_t term,
                       const MemberId& primary) {
  if (!this->members.at(id).Follow(term, primary)) return false;
  this->Deliver(primary, id, term);
  return true;
}

BatchResult FakeGroup::RunBatch(Session& session, const SqlBatch& batch) {
  BatchResult result;
  for (const SqlStatement& statement : batch.statements) {
    if (!this->RunStatement(session, statement, result)) break;
  }
  return result;
}

bool FakeGroup::RunStatement(Session& session, const SqlStatement& statement,
                             BatchResult& result) {
  FakeMember& member = this->members.at(session.member);
  ResultSet rows;
  const std::string& sql = statement.sql;
  if (sql == "BEGIN") {
    session.in_transaction = true;
  } else if (sql == "ROLLBACK") {
    session.in_transaction = false;
    session.puts.clear();
  } else if (sql == "COMMIT") {
    if (!session.puts.empty() && !member.primary) {
      session.in_transaction = false;
      session.puts.clear();
      result.sqlstate = "25006";
      return false;
    }
    this->CommitOpen(session, member);
  } else if (sql == "STATUS") {
    rows = member.StatusRows();
  } else if (sql == "GET") {
    const auto found = member.state.find(*statement.parameters.at(0));
    if (found != member.state.end()) rows.rows.push_back({found->second});
  } else if (sql == "PUT" || sql == "PUTNEW") {
    if (!member.primary) {
      result.sqlstate = "25006";
      return false;
    }
    if (sql == "PUTNEW" &&
        member.state.count(*statement.parameters.at(0)) > 0) {
      result.sqlstate = "23505";
      return false;
    }
    session.puts.emplace_back(*statement.parameters.at(0),
                              *statement.parameters.at(1));
    rows.affected_rows = 1;
    if (!session.in_transaction) this->CommitOpen(session, member);
  } else {
    result.sqlstate = "42601";
    result.message = "unknown statement " + sql;
    return false;
  }
  result.results.push_back(std::move(rows));
  return true;
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
    this->network.Deliver(
        source.info.zone, entry.second.info.zone,
        [this, primary, replica = entry.first, term = source.term] {
          this->Deliver(primary, replica, term);
        });
  }
}

void FakeGroup::Deliver(const MemberId& primary, const MemberId& replica,
                        std::uint64_t term) {
  FakeMember& source = this->members.at(primary);
  FakeMember& target = this->members.at(replica);
  const bool streams =
      source.alive && target.alive && source.primary && source.term == term &&
      target.term == term && target.following == primary &&
      this->network.Reaches(source.info.zone, target.info.zone);
  if (!streams) {
    // Tries again while the replica still wants this primary's log.
    if (target.following == primary && target.term == term) {
      this->queue.After(kResyncInterval, [this, primary, replica, term] {
        this->Deliver(primary, replica, term);
      });
    }
    return;
  }
  target.CopyLog(source.log);
  const auto lag = this->options.apply_lag ? this->options.apply_lag(replica)
                                           : std::chrono::nanoseconds(0);
  this->queue.After(lag, [this, replica, count = target.log.size(),
                          epoch = target.history_epoch] {
    FakeMember& member = this->members.at(replica);
    if (member.history_epoch == epoch) member.ApplyTo(count);
  });
  this->network.Deliver(target.info.zone, source.info.zone,
                        [this, primary, replica, term] {
                          this->Acknowledge(primary, replica, term);
                        });
}

void FakeGroup::Acknowledge(const MemberId& primary, const MemberId& replica,
                            std::uint64_t term) {
  FakeMember& source = this->members.at(primary);
  if (!source.primary || source.term != term) return;
  const FakeMember& target = this->members.at(replica);
  if (target.term != term) return;
  source.replicas[replica] =
      FakeReplicaReport{term, target.Durable(), target.Applied()};
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
