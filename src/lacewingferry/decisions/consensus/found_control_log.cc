#include "lacewingferry/decisions/consensus/found_control_log.h"

#include <algorithm>

#include "lacewingferry/decisions/consensus/control_log.h"
#include "lacewingferry/decisions/consensus/voter_identity.h"

namespace lacewingferry {
namespace {

VoterId FounderIdentity(const NodeId& node) {
  return VoterId("founder-" + node.Value());
}

}  // namespace

VoterId FoundControlLog(const StoragePort& storage, const LogCodecPort& codec,
                        const NodeId& node, std::mt19937_64& random) {
  VoterId voter = LoadOrCreateIdentity(storage, codec, random);
  ControlConfiguration configuration;
  configuration.members.push_back({voter, node, ControlRole::kVoter});
  ControlLog(storage, codec).Found(configuration);
  return voter;
}

void FoundControlLogTogether(const StoragePort& storage,
                             const LogCodecPort& codec, const NodeId& self,
                             const std::vector<NodeId>& founders) {
  const bool founds =
      std::find(founders.begin(), founders.end(), self) != founders.end();
  if (!founds || !ControlLog(storage, codec).Empty()) return;
  const VoterId identity = FounderIdentity(self);
  if (StoreIdentity(storage, codec, identity) != identity) return;
  ControlConfiguration configuration;
  for (const NodeId& node : founders) {
    configuration.members.push_back(
        {FounderIdentity(node), node, ControlRole::kVoter});
  }
  ControlLog(storage, codec).Found(configuration);
}

}  // namespace lacewingferry
