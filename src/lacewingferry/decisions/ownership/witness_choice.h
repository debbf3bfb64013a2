#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_

// Defines ChooseWitnesses, which determines the witnesses of an availability
// zone's slots.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"

namespace lacewingferry {

/**
 * The witnesses of a zone's slots. They depend only on the configuration, so
 * that all proxies with the same configuration agree. They are five of the
 * proxies that it lists in the zone, or of all that it lists if the zone has
 * fewer than three, since a majority of fewer would not survive one failure.
 * Sorted; empty if the configuration lists no proxy.
 */
std::vector<NodeId> ChooseWitnesses(const AvailabilityZone& zone,
                                    const ConfigurationInForce& configuration);

/** A number that distinguishes sets of witnesses. */
std::uint64_t WitnessFingerprint(const std::vector<NodeId>& witnesses);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_WITNESS_CHOICE_H_
