#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_

// Defines which proxies are the witnesses of an availability zone's slots.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"

namespace lacewingferry {

/**
 * The witnesses of a zone's slots, which depend on the configuration alone, so
 * that all proxies with one configuration agree: five of the proxies that it
 * names in the zone, or of all that it names if the zone has fewer than three,
 * whose majority would not outlive one death. Sorted; empty if the
 * configuration names no proxy.
 */
std::vector<NodeId> ChooseWitnesses(const AvailabilityZone& zone,
                                    const ConfigurationInForce& configuration);

/** A number that tells sets of witnesses apart. */
std::uint64_t WitnessFingerprint(const std::vector<NodeId>& witnesses);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_
