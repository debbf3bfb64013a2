#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_

// Defines TrimHistory, which limits the size of the state kept of release
// notes.

#include <cstddef>

#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** The number of accepted notes that are kept in full. A resent note gets its
 * first answer as long as it is among them. */
constexpr std::size_t kMaxHistoryEntries = 4096;

/** The total number of items in all kept accepted notes. */
constexpr std::size_t kMaxHistoryItems = 65536;

/** The number of rejected notes that are kept with their answers. */
constexpr std::size_t kMaxRejectedNotes = 256;

/** The total number of items in all kept rejected notes. */
constexpr std::size_t kMaxRejectedItems = 16384;

/** The number of withdrawn names kept for each kind of item. */
constexpr std::size_t kMaxWithdrawnNames = 8192;

/** Drops the oldest entries beyond the limits. The newest accepted note is
 * always kept. */
void TrimHistory(Configuration* configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_
