#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_

// Defines how the first replica of a control log is made.

#include <random>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Makes the replica on this disk the only voter of a new control log; other
 * replicas join it. Done on one VM once, by order of an operator: a VM that
 * lost its disk must not found a second log. Throws UserError for a disk that
 * holds a log already, StorageError for one that fails. */
VoterId FoundControlLog(const StoragePort& storage, const LogCodecPort& codec,
                        const NodeId& node, std::mt19937_64& random);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
