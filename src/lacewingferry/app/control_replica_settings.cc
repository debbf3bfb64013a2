#include "lacewingferry/app/control_replica_settings.h"

namespace lacewingferry {

FailoverSettings MakeFailoverSettings(const ControlSettings& settings) {
  FailoverSettings times;
  times.member_lost_after = settings.member_lost_after;
  return times;
}

ControlReplicaSettings MakeReplicaSettings(const ControlSettings& settings) {
  ControlReplicaSettings replica;
  replica.data_folder = settings.data_folder;
  replica.repair.voters = settings.voters.size();
  for (const PeerAddress& voter : settings.voters) {
    if (voter.id != settings.node) replica.raft.seeds.push_back(voter.id);
  }
  return replica;
}

}  // namespace lacewingferry
