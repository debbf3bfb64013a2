#include "lacewingferry/decisions/consensus/found_control_log.h"

#include "lacewingferry/decisions/consensus/control_log.h"
#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry {

VoterId FoundControlLog(const StoragePort& storage, const LogCodecPort& codec,
                        const NodeId& node, std::mt19937_64& random) {
  VoterId voter = LoadOrCreateIdentity(storage, codec, random);
  ControlConfiguration configuration;
  configuration.members.push_back({voter, node, ControlRole::kVoter});
  ControlLog(storage, codec).Found(configuration);
  return voter;
}

}  // namespace lacewingferry
