#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_

// Defines the functions that create a new control log.

#include <random>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Creates a new control log with the replica on this disk as its only voter;
 * other replicas join later. An operator runs this once, on one VM: a VM that
 * lost its disk must not create a second log. Throws UserError if the disk
 * already contains a log, and StorageError if the disk fails. */
VoterId FoundControlLog(const StoragePort& storage, const LogCodecPort& codec,
                        const NodeId& node, std::mt19937_64& random);

/** Creates a new control log with several founders. Each founder calls this
 * with the same list; all of them are voters from the first entry on. Does
 * nothing if the disk already contains a log or if `self` is not a founder. A
 * VM that lost its disk must not call it: a founder's identity is derived from
 * its node, so the VM would return as the same voter without its vote and log.
 * Throws StorageError if the disk fails. */
void FoundControlLogTogether(const StoragePort& storage,
                             const LogCodecPort& codec, const NodeId& self,
                             const std::vector<NodeId>& founders);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_FOUND_CONTROL_LOG_H_
