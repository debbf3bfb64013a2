#include "lacewingferry/decisions/ownership/witness_choice.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

/** With five witnesses a majority survives two failures. */
constexpr std::size_t kMaxWitnesses = 5;
/** The fewest of which a majority survives one failure. */
constexpr std::size_t kMinZoneWitnesses = 3;

std::vector<std::pair<std::uint64_t, NodeId>> RankedIn(
    const AvailabilityZone& zone, const ConfigurationInForce& configuration,
    bool own_zone_only) {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const auto& [id, proxy] : configuration.proxies) {
    if (own_zone_only && proxy.zone != zone) continue;
    ranked.emplace_back(RendezvousWeight(zone.Value(), id.Value()), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  return ranked;
}

}  // namespace

std::vector<NodeId> ChooseWitnesses(const AvailabilityZone& zone,
                                    const ConfigurationInForce& configuration) {
  auto ranked = RankedIn(zone, configuration, true);
  if (ranked.size() < kMinZoneWitnesses) {
    ranked = RankedIn(zone, configuration, false);
  }
  ranked.resize(std::min(ranked.size(), kMaxWitnesses));
  std::vector<NodeId> chosen;
  chosen.reserve(ranked.size());
  for (auto& entry : ranked) chosen.push_back(std::move(entry.second));
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

std::uint64_t WitnessFingerprint(const std::vector<NodeId>& witnesses) {
  std::uint64_t fingerprint = 0;
  for (const NodeId& witness : witnesses) {
    fingerprint ^= RendezvousWeight("witness", witness.Value());
  }
  return fingerprint;
}

}  // namespace lacewingferry
