#ifndef BENCH_MODEL_CONSENSUS_GROUP_H_
#define BENCH_MODEL_CONSENSUS_GROUP_H_

// Defines ConsensusGroup, replicas of the control log in virtual time, whose
// promises are checked with each input.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/memory_disk.h"
#include "lacewingferry/decisions/consensus/raft_node.h"
#include "lacewingferry/decisions/consensus/voter_repair.h"

namespace lacewingferry::model {

/** How a group of replicas and its network behave. */
struct GroupOptions {
  std::size_t voters = 3;
  /** Processes that start with an empty disk and ask to join. */
  std::size_t spares = 0;
  RaftSettings raft;
  RaftFaults faults;
  /** Whether the leader replaces lost voters, and how. */
  std::optional<RepairSettings> repair;
  LogCodecPort codec;
  std::function<std::chrono::microseconds(std::size_t, std::size_t)> latency;
  /** Added to each latency at random, which also reorders messages. */
  std::chrono::microseconds jitter{0};
  double loss = 0;
  double duplication = 0;
  /** Each clock's rate differs from 1 by at most this. */
  double clock_drift = 0;
  /** Bytes that each snapshot has in addition. */
  std::size_t state_padding = 0;
  /** A mistake: a replica without its disk keeps its identity. */
  bool keep_identity = false;
  std::uint64_t seed = 1;
  /** Called with each message sent. */
  std::function<void(const ConsensusMessage&)> on_send;
  /** Called with each failed election that a replica reports. */
  std::function<void(const ElectionFailure&)> on_election_failed;
  /** Called when a leader reports that a learner is caught up. */
  std::function<void(const LearnerCopy&)> on_learner_caught_up;
  /** Called with each snapshot that a replica reports. */
  std::function<void(const StoredSnapshot&)> on_snapshot_stored;
};

/** Replicas numbered from 0. Violated promises are collected, not thrown. */
class ConsensusGroup {
 public:
  explicit ConsensusGroup(GroupOptions group_options);

  EventQueue& Queue() { return this->queue; }
  std::chrono::steady_clock::time_point Now() const {
    return this->queue.Now();
  }
  void RunFor(std::chrono::milliseconds duration);

  std::size_t Size() const { return this->replicas.size(); }
  bool Runs(std::size_t i) const { return this->replicas[i].node != nullptr; }
  const RaftNode& Node(std::size_t i) const { return *this->replicas[i].node; }
  MemoryDisk& Disk(std::size_t i) { return *this->replicas[i].disk; }

  /** The running leader of the highest term. */
  std::optional<std::size_t> Leader() const;

  void Crash(std::size_t i);
  void Start(std::size_t i);
  /** Crashes a replica and gives it an empty disk. */
  void LoseDisk(std::size_t i);
  /** Whether messages from one replica to another are dropped. */
  void Cut(std::size_t from, std::size_t to, bool cut);
  /** What the settings name as seeds of replicas that start from now on; at
   * first all replicas. */
  void SetSeeds(const std::vector<std::size_t>& seeds);
  /** A running replica reads its settings again, with other seeds. */
  void ReloadSeeds(std::size_t i, const std::vector<std::size_t>& seeds);
  /** Cuts a replica off from all others in both directions, or undoes it. */
  void Isolate(std::size_t i, bool cut);
  /** Changes the network's loss and jitter from now on. */
  void SetNetwork(double loss, std::chrono::microseconds jitter);
  /** Proposes a command at a replica. */
  std::optional<std::uint64_t> Propose(std::size_t i, std::string payload);
  bool CanServeReads(std::size_t i) const;
  ChangeResult ProposeChange(std::size_t i, const MembershipChange& change);

  /** The highest index that any replica has applied. */
  std::uint64_t Committed() const { return this->committed.size(); }
  /** Promises that were broken, in words. */
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }

 private:
  struct Replica {
    std::unique_ptr<MemoryDisk> disk;
    std::unique_ptr<RaftNode> node;
    double clock_rate = 1;
    std::uint64_t applied = 0;
    /** A digest of all commands applied in order. */
    std::uint64_t state = 0;
    std::uint64_t wakeup = 0;
    /** When its next tick is scheduled for, by its own clock. */
    std::optional<std::chrono::steady_clock::time_point> wakeup_time;
  };

  std::chrono::steady_clock::time_point Local(std::size_t i) const;
  RaftHooks Hooks(std::size_t i);
  void Found();
  void Input(std::size_t i, const std::function<void(RaftNode&)>& action);
  void ScheduleWakeup(std::size_t i);
  void Send(std::size_t from, const NodeId& to,
            const ConsensusMessage& message);
  void Deliver(std::size_t from, std::size_t to,
               const ConsensusMessage& message);
  void Apply(std::size_t i, const ControlEntry& entry);
  void CheckReads(std::size_t i);
  bool Chance(double probability);

  GroupOptions options;
  EventQueue queue;
  std::mt19937_64 random;
  std::vector<Replica> replicas;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  /** For each applied index the entry's term and the state after it. */
  std::vector<std::pair<std::uint64_t, std::uint64_t>> committed;
  std::map<std::uint64_t, VoterId> leaders;
  std::vector<std::string> violations;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_CONSENSUS_GROUP_H_
