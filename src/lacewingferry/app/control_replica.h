#ifndef LACEWINGFERRY_APP_CONTROL_REPLICA_H_
#define LACEWINGFERRY_APP_CONTROL_REPLICA_H_

// Defines ControlReplica, the control log together with the state that it
// builds.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/consensus/raft_node.h"
#include "lacewingferry/decisions/control/control_state.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a ControlReplica is made of. */
struct ControlReplicaSettings {
  std::string data_folder;
  RaftSettings raft;
  RepairSettings repair;
  /** The process that holds the replica. */
  NodeId self;
  /** The replicas that found the log together, on disks that are empty; none
   * where the log was founded before. */
  std::vector<NodeId> founders;
};

/** What a ControlReplica acts through, on its own thread. */
struct ControlReplicaHooks {
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** A command was applied, here and in the same order everywhere. */
  std::function<void(std::chrono::steady_clock::time_point,
                     const ControlCommand&, const ControlOutcome&)>
      applied;
  EventPort events;
  /** The disk failed; the replica takes no further part. */
  std::function<void(const std::string& reason)> failed;
  std::function<std::chrono::steady_clock::time_point()> now;
};

/** Encodes commands and snapshots for the log and applies what it commits. */
class ControlReplica {
 public:
  using OutcomeHook = std::function<void(const std::optional<ControlOutcome>&)>;

  /** Reads the disk. Throws StorageError. */
  ControlReplica(const ControlReplicaSettings& settings,
                 ControlReplicaHooks hooks);

  /** Takes a message; returns whether it was one of the log's. */
  bool OnMessage(const NodeId& from, const PeerBody& body);

  /** Does what is due. */
  void OnTick();

  /** When OnTick has to be called next. */
  std::chrono::steady_clock::time_point NextWakeup() const;

  /** Replaces the nodes that a replica without a leader asks to join. */
  void SetSeeds(std::vector<NodeId> seeds);

  /** Puts a command into the log. The hook gets its outcome once, or nothing
   * if that isn't known. Call from outside the replica's own hooks. */
  void Propose(const ControlCommand& command, OutcomeHook on_outcome);

  /** Whether this replica leads and its state is current. */
  bool Serving() const;

  /** The replicas of the log, as far as this one knows. */
  const ControlConfiguration& Configuration() const {
    return this->raft->Configuration();
  }

  /** Whether this replica is a voter or a learner, as far as it knows. */
  bool IsMember() const;

  /** The voters that this replica doesn't hear while it leads; else 0. */
  std::size_t SilentVoters() const;

  const ControlState& State() const { return this->state; }
  Leadership CurrentLeadership() const {
    return this->raft->CurrentLeadership();
  }

 private:
  struct Proposed {
    std::uint64_t term = 0;
    OutcomeHook on_outcome;
  };

  RaftHooks MakeRaftHooks();
  void RecordStart(const std::vector<NodeId>& seeds);
  void Apply(const ControlEntry& entry);
  void RecordMembers(const ControlEntry& entry);
  void AbandonProposed();

  ControlReplicaHooks hooks;
  ControlState state;
  std::map<std::uint64_t, Proposed> proposed;
  /** The command that was applied last. */
  std::uint64_t applied_index = 0;
  ControlOutcome applied_outcome;
  std::unique_ptr<RaftNode> raft;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_CONTROL_REPLICA_H_
