#include "lacewingferry/app/fleet_replica_settings.h"

#include <algorithm>
#include <chrono>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** The fewest voters that can lose one. */
constexpr std::size_t kFewestVoters = 3;

RaftSettings RaftTimes() {
  RaftSettings raft;
  raft.heartbeat = milliseconds(70);
  raft.election_timeout_min = milliseconds(300);
  raft.election_timeout_max = milliseconds(450);
  raft.lease_margin = milliseconds(30);
  raft.resend = milliseconds(250);
  raft.join_retry = milliseconds(400);
  return raft;
}

RepairSettings RepairTimes(std::uint64_t tolerated_losses) {
  RepairSettings repair;
  repair.voters =
      std::max<std::size_t>(kFewestVoters, 2 * tolerated_losses + 1);
  repair.voter_silence = milliseconds(2000);
  repair.learner_silence = milliseconds(3000);
  return repair;
}

}  // namespace

std::vector<NodeId> OtherControlNodes(const FleetNodeSettings& settings) {
  std::vector<NodeId> others;
  for (const NodeId& node : settings.control) {
    if (node != settings.address) others.push_back(node);
  }
  return others;
}

ControlReplicaSettings MakeFleetReplicaSettings(
    const FleetControlProgramSettings& settings) {
  ControlReplicaSettings replica;
  replica.data_folder = settings.data_folder;
  replica.raft = RaftTimes();
  replica.repair = RepairTimes(settings.tolerated_losses);
  replica.self = settings.node.address;
  replica.raft.seeds = OtherControlNodes(settings.node);
  if (settings.founding) replica.founders = settings.node.control;
  return replica;
}

}  // namespace lacewingferry
