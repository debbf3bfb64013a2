#ifndef BENCH_MODEL_FAILOVER_CONTROL_H_
#define BENCH_MODEL_FAILOVER_CONTROL_H_

// Defines FailoverControl, the control replicas of a deployment in virtual
// time: the real control log, terms and failover.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/memory_disk.h"
#include "lacewingferry/decisions/consensus/raft_node.h"
#include "lacewingferry/decisions/failover/failover_manager.h"

namespace lacewingferry::model {

/** What the replicas of control are made of. */
struct FailoverControlOptions {
  LogCodecPort codec;
  FailoverSettings settings;
  std::uint64_t seed = 1;
  /** Sends from a replica to a proxy or another replica. */
  std::function<void(const NodeId& from, const NodeId& to, const PeerBody&)>
      send;
  decltype(FailoverHooks::owners) owners;
  decltype(FailoverHooks::proxies) proxies;
  EventPort events;
  /** Told of each command as the first replica applies it. */
  std::function<void(const DatabaseCommand&, ApplyResult)> applied;
};

/** Three replicas, named control-0 to control-2. */
class FailoverControl {
 public:
  static constexpr std::size_t kReplicas = 3;

  FailoverControl(EventQueue& queue, FailoverControlOptions options);

  static NodeId NodeOf(std::size_t i);

  /** Takes a message of a proxy or of another replica. */
  void Receive(std::size_t i, const NodeId& from, const PeerBody& body);

  /** Takes a member's announcement at a replica. */
  void Announce(std::size_t i, const MemberAnnouncement& announcement);

  /** Ends a replica's process for good. */
  void Kill(std::size_t i) { this->replicas[i].node.reset(); }

  /** Lets a replica hear nothing, or again; used to move the leadership. */
  void Pause(std::size_t i, bool paused) { this->replicas[i].paused = paused; }

  /** The replica that serves as the leader. */
  std::optional<std::size_t> Leader() const;

  /** The replicated state of a replica. */
  DatabaseTerms& Terms(std::size_t i) { return this->replicas[i].terms; }

 private:
  struct Replica {
    std::unique_ptr<MemoryDisk> disk;
    std::unique_ptr<RaftNode> node;
    DatabaseTerms terms;
    std::unique_ptr<FailoverManager> manager;
    /** The term of the control log that the manager leads in; 0 for none. */
    std::uint64_t leads_in = 0;
    bool paused = false;
    std::optional<std::chrono::steady_clock::time_point> armed_for;
  };

  RaftHooks HooksOf(std::size_t i);
  FailoverHooks ManagerHooksOf(std::size_t i);
  void Input(std::size_t i, const std::function<void(RaftNode&)>& action);
  void Apply(std::size_t i, const ControlEntry& entry);
  void FollowLeadership(std::size_t i);
  void Redirect(std::size_t i, const NodeId& to);
  void Arm(std::size_t i);
  void Tick(std::size_t i);

  EventQueue& queue;
  FailoverControlOptions options;
  std::mt19937_64 random;
  std::vector<Replica> replicas;
  /** The commands that were proposed; an entry of the log holds a number. */
  std::vector<DatabaseCommand> commands;
  std::uint64_t applied_index = 0;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_FAILOVER_CONTROL_H_
