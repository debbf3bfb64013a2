#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_

// Defines how a control log replica gets its identity.

#include <random>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Reads the identity from disk, or creates and stores a random one if there is
 * none. The random engine must be seeded differently on each VM and at each
 * start, or a VM that lost its disk would return as the same voter without its
 * vote and log. Throws StorageError. */
VoterId LoadOrCreateIdentity(const StoragePort& storage,
                             const LogCodecPort& codec,
                             std::mt19937_64& random);

/** Stores an identity if the disk has none. Returns the identity on the disk.
 * Throws StorageError. */
VoterId StoreIdentity(const StoragePort& storage, const LogCodecPort& codec,
                      const VoterId& identity);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_VOTER_IDENTITY_H_
