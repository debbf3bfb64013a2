#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_

// Defines how a replica of the control log gets its identity.

#include <random>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Reads the identity on a disk; makes and stores a random one on a disk that
 * has none. The engine must differ between VMs and between starts, or a VM
 * that lost its disk would come back as the voter that it was. Throws
 * StorageError. */
VoterId LoadOrCreateIdentity(const StoragePort& storage,
                             const LogCodecPort& codec,
                             std::mt19937_64& random);

/** Stores an identity on a disk that has none. Returns the one that the disk
 * holds. Throws StorageError. */
VoterId StoreIdentity(const StoragePort& storage, const LogCodecPort& codec,
                      const VoterId& identity);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_
