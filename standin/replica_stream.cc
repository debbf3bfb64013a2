#include "standin/replica_stream.h"

#include <utility>

namespace lacewingferry::standin {
namespace {

/** The most entries and about the most bytes in one message. */
constexpr std::size_t kMaxEntries = 1000;
constexpr std::size_t kMaxBatchBytes = 1024UL * 1024;

std::size_t SizeOf(const LogEntry& entry) {
  std::size_t bytes = 0;
  for (const SqlStatement& statement : entry.statements) {
    bytes += statement.sql.size();
    for (const SqlValue& value : statement.parameters) {
      bytes += value ? value->size() : 0;
    }
  }
  return bytes;
}

}  // namespace

ReplicaStream::ReplicaStream(std::shared_ptr<ReplicationChannel> connected,
                             ReplicaStreamHooks stream_hooks)
    : channel(std::move(connected)), hooks(std::move(stream_hooks)) {}

void ReplicaStream::Start() {
  const auto self = this->shared_from_this();
  this->channel->Start(
      {[self](const ReplicationMessage& message) { self->Take(message); },
       [self] { self->Pump(); }, [self] { self->Close(); }});
}

void ReplicaStream::Close() {
  if (std::exchange(this->closed, true)) return;
  this->channel->Close();
}

void ReplicaStream::Take(const ReplicationMessage& message) {
  if (const auto* hello = std::get_if<HelloMessage>(&message)) {
    this->Greet(*hello);
  } else if (const auto* ack = std::get_if<AckMessage>(&message)) {
    this->acknowledged = *ack;
  } else {
    this->Close();
  }
}

void ReplicaStream::Greet(const HelloMessage& hello) {
  const MemberState& state = this->hooks.state();
  if (!state.primary || hello.term > state.term || this->next_offset != 0) {
    this->Close();
    return;
  }
  this->member = hello.member;
  const std::uint64_t common = this->hooks.log().CommonOffset(hello.log_terms);
  this->next_offset = common + 1;
  this->channel->Send(StartMessage{state.term, common});
}

void ReplicaStream::Pump() {
  if (this->closed || this->next_offset == 0 || this->channel->Busy()) return;
  const ReplicationLog& log = this->hooks.log();
  EntriesMessage batch;
  std::size_t bytes = 0;
  while (this->next_offset <= log.End().offset &&
         batch.entries.size() < kMaxEntries && bytes < kMaxBatchBytes) {
    batch.entries.push_back(log.At(this->next_offset++));
    bytes += SizeOf(batch.entries.back());
  }
  if (!batch.entries.empty()) this->channel->Send(batch);
}

}  // namespace lacewingferry::standin
