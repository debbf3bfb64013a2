#include "lacewingferry/decisions/consensus/raft_leader.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lacewingferry {

using std::chrono::steady_clock;

RaftLeader::RaftLeader(RaftContext& shared, steady_clock::time_point now)
    : context(shared) {
  this->UpdateFollowers(now);
  this->rounds.Begin(now);
  this->next_heartbeat = now + this->context.settings.heartbeat;
  this->first_index = this->context.log.LastIndex() + 1;
  this->AppendEntry(now, EntryKind::kNoOp, {}, {});
}

void RaftLeader::UpdateFollowers(steady_clock::time_point now) {
  const ControlConfiguration& configuration = this->context.log.Configuration();
  for (const ControlMember& member : configuration.members) {
    if (member.voter == this->context.self) continue;
    const auto [place, is_new] = this->followers.try_emplace(member.voter);
    if (!is_new) continue;
    place->second.next = this->context.log.LastIndex() + 1;
    place->second.last_heard = now;
    place->second.tracked_since = now;
  }
  for (auto it = this->followers.begin(); it != this->followers.end();) {
    const bool gone = configuration.Find(it->first) == nullptr;
    it = gone ? this->followers.erase(it) : std::next(it);
  }
}

void RaftLeader::OnTick(steady_clock::time_point now) {
  if (now < this->next_heartbeat) return;
  if (!this->QuorumConnected(now)) {
    this->context.BecomeFollower();
    return;
  }
  this->BeginRound(now);
}

void RaftLeader::BeginRound(steady_clock::time_point now) {
  this->rounds.Begin(now);
  this->next_heartbeat = now + this->context.settings.heartbeat;
  const auto members = this->context.log.Configuration().members;
  for (const ControlMember& member : members) {
    if (member.voter == this->context.self) continue;
    const FollowerProgress& follower = this->followers.at(member.voter);
    const bool waits = follower.resend_at && now < *follower.resend_at;
    // Until the follower's last entry is known, each round asks for it anew.
    const bool complete = follower.next > this->context.log.LastIndex() &&
                          follower.match + 1 == follower.next;
    if (waits || complete) {
      this->SendHeartbeatTo(member);
    } else {
      this->SendEntriesTo(now, member);
    }
  }
}

std::optional<std::uint64_t> RaftLeader::Propose(steady_clock::time_point now,
                                                 std::string payload) {
  const std::uint64_t waiting =
      this->context.log.LastIndex() - this->context.commit_index;
  if (waiting >= this->context.settings.max_uncommitted_entries) {
    return std::nullopt;
  }
  return this->AppendEntry(now, EntryKind::kCommand, std::move(payload), {});
}

std::uint64_t RaftLeader::ProposeChange(steady_clock::time_point now,
                                        const MembershipChange& change) {
  return this->AppendEntry(
      now, EntryKind::kConfiguration, {},
      ApplyChange(this->context.log.Configuration(), change));
}

std::uint64_t RaftLeader::AppendEntry(steady_clock::time_point now,
                                      EntryKind kind, std::string payload,
                                      ControlConfiguration configuration) {
  ControlEntry entry;
  entry.term = this->context.log.Term();
  entry.index = this->context.log.LastIndex() + 1;
  entry.kind = kind;
  entry.payload = std::move(payload);
  entry.configuration = std::move(configuration);
  this->context.log.Append({entry});
  if (kind == EntryKind::kConfiguration) this->UpdateFollowers(now);
  this->SendEntries(now);
  this->AdvanceCommit();
  return entry.index;
}

void RaftLeader::SendEntries(steady_clock::time_point now) {
  const auto members = this->context.log.Configuration().members;
  for (const ControlMember& member : members) {
    if (member.voter == this->context.self) continue;
    const FollowerProgress& follower = this->followers.at(member.voter);
    if (follower.resend_at && now < *follower.resend_at) continue;
    this->SendEntriesTo(now, member);
  }
}

void RaftLeader::SendEntriesTo(steady_clock::time_point now,
                               const ControlMember& member) {
  FollowerProgress& follower = this->followers.at(member.voter);
  const ControlLog& log = this->context.log;
  if (follower.next <= log.BaseIndex()) {
    this->SendSnapshotTo(now, member);
    return;
  }
  AppendRequest request = this->MakeAppend(member, follower.next - 1);
  request.entries =
      log.Slice(follower.next, this->context.settings.max_append_bytes);
  if (!request.entries.empty()) {
    follower.resend_at = now + this->context.settings.resend;
    follower.in_flight_last = request.entries.back().index;
    for (const ControlEntry& entry : request.entries) {
      follower.sent_bytes += EstimatedBytes(entry);
    }
  }
  this->context.hooks.send(member.node, request);
}

void RaftLeader::SendHeartbeatTo(const ControlMember& member) {
  // The follower's last acknowledged entry always matches. If it is no longer
  // in the log, index 0 is sent, and the message only shows that the leader is
  // alive.
  const std::uint64_t match = this->followers.at(member.voter).match;
  const bool kept = this->context.log.TermAt(match).has_value();
  this->context.hooks.send(member.node,
                           this->MakeAppend(member, kept ? match : 0));
}

AppendRequest RaftLeader::MakeAppend(const ControlMember& member,
                                     std::uint64_t previous_index) const {
  AppendRequest request;
  request.from = this->context.self;
  request.to = member.voter;
  request.term = this->context.log.Term();
  request.previous_index = previous_index;
  request.previous_term = this->context.log.TermAt(previous_index).value_or(0);
  request.commit_index = this->context.commit_index;
  request.round = this->rounds.Current();
  return request;
}

void RaftLeader::SendSnapshotTo(steady_clock::time_point now,
                                const ControlMember& member) {
  const SnapshotRecord& snapshot = this->context.log.Snapshot();
  SnapshotRequest request;
  request.from = this->context.self;
  request.to = member.voter;
  request.term = this->context.log.Term();
  request.last_index = snapshot.last_index;
  request.last_term = snapshot.last_term;
  request.configuration = snapshot.configuration;
  request.state = snapshot.state;
  request.round = this->rounds.Current();
  FollowerProgress& follower = this->followers.at(member.voter);
  follower.resend_at = now + this->context.settings.snapshot_resend;
  follower.in_flight_last = snapshot.last_index;
  follower.sent_bytes += snapshot.state.size();
  this->context.hooks.send(member.node, request);
}

void RaftLeader::OnAppendReply(steady_clock::time_point now,
                               const AppendReply& reply) {
  if (reply.term > this->context.log.Term()) {
    this->context.AdoptTerm(reply.term);
    return;
  }
  const auto found = this->followers.find(reply.from);
  if (reply.term < this->context.log.Term() || found == this->followers.end()) {
    return;
  }
  FollowerProgress& follower = found->second;
  this->RecordReply(now, reply, follower);
  if (reply.success) {
    this->HandleSuccess(reply, follower);
    this->AdvanceCommit();
  } else if (!this->HandleRejection(reply, follower)) {
    return;
  }
  const bool waits = follower.resend_at && now < *follower.resend_at;
  const ControlMember* member =
      this->context.log.Configuration().Find(reply.from);
  this->ReportCaughtUp(now, *member, follower);
  if (!waits && follower.next <= this->context.log.LastIndex()) {
    this->SendEntriesTo(now, ControlMember(*member));
  }
}

void RaftLeader::RecordReply(steady_clock::time_point now,
                             const AppendReply& reply,
                             FollowerProgress& follower) const {
  follower.last_heard = now;
  auto start = this->rounds.StartOf(reply.round);
  if (this->context.faults.lease_from_receipt) start = now;
  if (!start) return;
  follower.confirmed = std::max(follower.confirmed.value_or(*start), *start);
}

void RaftLeader::HandleSuccess(const AppendReply& reply,
                               FollowerProgress& follower) const {
  follower.match = std::max(follower.match, reply.index);
  follower.next = std::max(follower.next, follower.match + 1);
  if (follower.match >= follower.in_flight_last) follower.resend_at.reset();
}

bool RaftLeader::IsCaughtUp(std::uint64_t match) const {
  return match >= this->first_index &&
         match + this->context.settings.caught_up_entries >=
             this->context.log.LastIndex();
}

void RaftLeader::ReportCaughtUp(steady_clock::time_point now,
                                const ControlMember& member,
                                FollowerProgress& follower) const {
  if (follower.caught_up || !this->IsCaughtUp(follower.match)) return;
  follower.caught_up = true;
  const bool learner = member.role == ControlRole::kLearner;
  if (!learner || !this->context.hooks.learner_caught_up) return;
  this->context.hooks.learner_caught_up(
      {member.voter, member.node,
       std::chrono::duration_cast<std::chrono::milliseconds>(
           now - follower.tracked_since),
       follower.sent_bytes});
}

bool RaftLeader::HandleRejection(const AppendReply& reply,
                                 FollowerProgress& follower) const {
  // Entries are resent at once only if the rejection moves the follower's next
  // index back. Reacting to duplicated rejections would multiply messages.
  const std::uint64_t next = std::max(follower.match + 1, reply.index + 1);
  if (next >= follower.next) return false;
  follower.next = next;
  follower.resend_at.reset();
  return true;
}

/**
 * Commits the newest entry of this term that a majority of the voters has on
 * disk, and all entries before it. Entries of older terms are never committed
 * by counting replicas alone: a voter whose last entry has a higher term could
 * still win an election and overwrite them.
 */
void RaftLeader::AdvanceCommit() {
  const ControlConfiguration& configuration = this->context.log.Configuration();
  std::vector<std::uint64_t> stored;
  for (const ControlMember& member : configuration.members) {
    if (member.role != ControlRole::kVoter) continue;
    const bool self = member.voter == this->context.self;
    stored.push_back(self ? this->context.log.LastIndex()
                          : this->followers.at(member.voter).match);
  }
  std::sort(stored.begin(), stored.end(), std::greater<>());
  const std::uint64_t index = stored.at(configuration.Quorum() - 1);
  const bool own_term =
      this->context.log.TermAt(index) == this->context.log.Term();
  if (own_term || this->context.faults.commit_older_terms) {
    this->context.CommitUpTo(index);
  }
}

bool RaftLeader::CanServeReads(steady_clock::time_point now) const {
  if (!this->CommittedInTerm()) return false;
  const ControlConfiguration& configuration = this->context.log.Configuration();
  const auto lease_start = now - this->context.settings.Lease();
  std::size_t confirmed = 0;
  for (const ControlMember& member : configuration.members) {
    if (member.role != ControlRole::kVoter) continue;
    const auto found = this->followers.find(member.voter);
    const bool self = member.voter == this->context.self;
    confirmed += self || found->second.confirmed > lease_start;
  }
  return confirmed >= configuration.Quorum();
}

bool RaftLeader::QuorumConnected(steady_clock::time_point now) const {
  const ControlConfiguration& configuration = this->context.log.Configuration();
  std::size_t heard = 0;
  for (const ControlMember& member : configuration.members) {
    if (member.role != ControlRole::kVoter) continue;
    heard += this->Connected(now, member.voter);
  }
  return heard >= configuration.Quorum();
}

bool RaftLeader::Connected(steady_clock::time_point now,
                           const VoterId& voter) const {
  if (voter == this->context.self) return true;
  return now - this->followers.at(voter).last_heard <=
         this->context.settings.election_timeout_max;
}

GroupStatus RaftLeader::Status(steady_clock::time_point now) const {
  const ControlLog& log = this->context.log;
  GroupStatus group;
  group.leader = this->context.self;
  group.refusal = ChangeRefusal::kNone;
  if (log.ConfigurationIndex() > this->context.commit_index) {
    group.refusal = ChangeRefusal::kChangePending;
  }
  if (!this->CommittedInTerm()) group.refusal = ChangeRefusal::kNotReady;
  for (const ControlMember& member : log.Configuration().members) {
    const bool self = member.voter == this->context.self;
    const auto found = this->followers.find(member.voter);
    const std::uint64_t match = self ? log.LastIndex() : found->second.match;
    VoterStatus status;
    status.member = member;
    status.last_heard = self ? now : found->second.last_heard;
    status.connected = this->Connected(now, member.voter);
    status.caught_up = this->IsCaughtUp(match);
    group.members.push_back(std::move(status));
  }
  return group;
}

}  // namespace lacewingferry
