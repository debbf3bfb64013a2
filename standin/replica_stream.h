#ifndef STANDIN_REPLICA_STREAM_H_
#define STANDIN_REPLICA_STREAM_H_

// Defines ReplicaStream, the primary's end of one replica's connection.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "standin/member_state.h"
#include "standin/replication_channel.h"
#include "standin/replication_log.h"

namespace lacewingferry::standin {

/** What a stream reads of its member. */
struct ReplicaStreamHooks {
  std::function<const MemberState&()> state;
  std::function<const ReplicationLog&()> log;
};

/** Sends the log's entries to a replica and keeps what it acknowledged. */
class ReplicaStream : public std::enable_shared_from_this<ReplicaStream> {
 public:
  ReplicaStream(std::shared_ptr<ReplicationChannel> connected,
                ReplicaStreamHooks stream_hooks);

  /** Waits for the replica's first message. */
  void Start();

  /** Sends what was appended since. */
  void Pump();

  void Close();

  bool Closed() const { return this->closed; }
  const std::string& Member() const { return this->member; }
  /** The last acknowledgement; its term is 0 before the first. */
  const AckMessage& Acknowledged() const { return this->acknowledged; }

 private:
  void Take(const ReplicationMessage& message);
  void Greet(const HelloMessage& hello);

  std::shared_ptr<ReplicationChannel> channel;
  ReplicaStreamHooks hooks;
  std::string member;
  std::uint64_t next_offset = 0;
  AckMessage acknowledged;
  bool closed = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICA_STREAM_H_
