#include "standin/member.h"

#include <utility>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "standin/log_line.h"

namespace lacewingferry::standin {
namespace {

/** The path of a file in the data folder; empty without a folder. */
std::string DataPath(const std::string& folder, const std::string& name) {
  return folder.empty() ? "" : folder + "/" + name;
}

}  // namespace

Member::Member(boost::asio::io_context& context, MemberSettings member_settings,
               MemberHooks member_hooks)
    : settings(std::move(member_settings)),
      hooks(std::move(member_hooks)),
      state_file(DataPath(this->settings.data_folder, "state")),
      log(DataPath(this->settings.data_folder, "log")),
      engine(this->settings.data_folder),
      lock(context, this->settings.lock_timeout),
      applier(
          context,
          [this](const LogEntry& entry) {
            this->engine.Apply(entry);
            this->applied = entry.position;
          },
          [this] { this->client->SendAcknowledgement(); }),
      server(context, this->settings.replication,
             ReplicaStreamHooks{
                 [this]() -> const MemberState& { return this->state; },
                 [this]() -> const ReplicationLog& { return this->log; }}),
      client(
          std::make_shared<ReplicationClient>(context, this->ClientHooks())) {
  this->applier.SetLag(this->settings.lag);
  this->Load();
  this->Replay();
  if (this->state.followed.port != 0) {
    this->client->Follow(this->state.followed);
  }
}

ReplicationClientHooks Member::ClientHooks() {
  return ReplicationClientHooks{
      [this] { return this->Hello(); },
      [this](const StartMessage& start) { return this->StartStream(start); },
      [this](const std::vector<LogEntry>& entries) {
        return this->Receive(entries);
      },
      [this] { return this->Acknowledgement(); }};
}

void Member::Load() {
  const std::vector<std::string> records = this->state_file.TakeRecords();
  if (!records.empty()) {
    const std::string& last = records.back();
    this->state = detail::DecodeFields<MemberState>(last.data(), last.size());
  } else {
    this->state.term = this->settings.initial_primary ? 1 : 0;
    this->state.primary = this->settings.initial_primary;
    this->state.followed = this->settings.follow;
    this->Persist();
  }
  if (this->log.CutBytes() > 0) {
    LogLine("log_tail_cut", {{"bytes", std::to_string(this->log.CutBytes())}});
  }
}

void Member::Persist() {
  this->state_file.Append({detail::EncodeFields(this->state)});
}

void Member::Replay() {
  this->applied = LogPosition{};
  for (std::uint64_t i = 1; i <= this->log.End().offset; ++i) {
    this->engine.Apply(this->log.At(i));
  }
  this->applied = this->log.End();
}

void Member::Append(std::vector<SqlStatement> statements) {
  const LogPosition position{this->state.term, this->log.End().offset + 1};
  this->log.Append({LogEntry{position, std::move(statements)}});
  this->applied = position;
  this->server.Notify();
}

std::vector<MemberStatus> Member::Status() const {
  std::vector<MemberStatus> rows{
      MemberStatus{this->settings.name, true, this->state.primary,
                   this->state.term, this->log.End(), this->applied}};
  if (!this->state.primary) return rows;
  for (const auto& replica : this->server.Replicas(this->state.term)) {
    const AckMessage& ack = replica->Acknowledged();
    rows.push_back(MemberStatus{replica->Member(), false, false, ack.term,
                                ack.durable, ack.applied});
  }
  return rows;
}

bool Member::Fence(std::uint64_t term) {
  const bool was_primary = this->state.primary;
  if (!this->state.Fence(term)) return false;
  this->Persist();
  this->LeaveRole(was_primary);
  LogLine("fenced", {{"term", std::to_string(term)}});
  return true;
}

bool Member::Promote(std::uint64_t term) {
  if (!this->state.Promote(term)) return false;
  this->applier.ApplyAll();
  this->Persist();
  LogLine("promoted", {{"term", std::to_string(term)}});
  return true;
}

bool Member::Follow(std::uint64_t term, const Endpoint& primary_log) {
  const MemberState before = this->state;
  if (!this->state.Follow(term, primary_log)) return false;
  const bool repeated =
      before.term == term && !before.fenced && before.followed == primary_log;
  if (repeated) return true;
  this->Persist();
  this->LeaveRole(before.primary);
  this->client->Follow(primary_log);
  LogLine("following", {{"term", std::to_string(term)},
                        {"host", primary_log.host},
                        {"port", std::to_string(primary_log.port)}});
  return true;
}

void Member::LeaveRole(bool was_primary) {
  this->client->Stop();
  if (!was_primary) return;
  this->server.DropReplicas();
  this->hooks.demote_sessions();
  this->lock.CancelWaiting(
      SqlError("25006", "this member is no longer the primary"));
}

HelloMessage Member::Hello() const {
  return HelloMessage{this->settings.name, this->state.term, this->log.Terms()};
}

bool Member::StartStream(const StartMessage& start) {
  const std::uint64_t told = this->state.term;
  if (!this->state.AcceptStream(start.term)) return false;
  if (this->state.term != told) this->Persist();
  if (start.common_offset > this->log.End().offset) return false;
  this->TruncateHistory(start.common_offset);
  return true;
}

void Member::TruncateHistory(std::uint64_t offset) {
  const LogPosition end = this->log.End();
  if (offset >= end.offset) return;
  LogLine("history_truncated", {{"from_offset", std::to_string(offset + 1)},
                                {"to_offset", std::to_string(end.offset)},
                                {"to_term", std::to_string(end.term)}});
  this->applier.Truncate(offset);
  this->log.Truncate(offset);
  if (this->applied.offset <= offset) return;
  this->hooks.drop_sessions();
  this->engine.Reset();
  this->Replay();
}

bool Member::Receive(const std::vector<LogEntry>& entries) {
  LogPosition end = this->log.End();
  for (const LogEntry& entry : entries) {
    const bool follows = entry.position.offset == end.offset + 1 &&
                         entry.position.term >= end.term &&
                         entry.position.term <= this->state.term;
    if (!follows) return false;
    end = entry.position;
  }
  this->log.Append(entries);
  this->applier.Add(entries);
  return true;
}

AckMessage Member::Acknowledgement() const {
  return AckMessage{this->state.term, this->log.End(), this->applied};
}

void Member::Stop() {
  this->client->Stop();
  this->server.Stop();
}

}  // namespace lacewingferry::standin
