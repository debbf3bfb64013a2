#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_

// Defines how the first replica of a control log is made.

#include <random>
#include <vector>

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

/** Makes the replica on this disk one of several that found a new control log
 * together: each is told the same founders, and all are voters from the first
 * entry on. Does nothing on a disk that holds a log, or for a process that is
 * no founder. A VM that lost its disk must not call it: a founder's identity
 * follows from its node. Throws StorageError for a disk that fails. */
void FoundControlLogTogether(const StoragePort& storage,
                             const LogCodecPort& codec, const NodeId& self,
                             const std::vector<NodeId>& founders);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
