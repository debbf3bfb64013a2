#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_

// Defines TrimHistory, which keeps the state of release notes within bounds.

#include <cstddef>

#include "lacewingferry/decisions/configuration/configuration.h"

namespace lacewingferry {

/** The accepted notes that are kept whole; a resend gets its first answer as
 * long as its note is among them. */
constexpr std::size_t kMostHistoryEntries = 4096;

/** The items that all kept accepted notes may have together. */
constexpr std::size_t kMostHistoryItems = 65536;

/** The notes without effect that are kept with their answers. */
constexpr std::size_t kMostRejectedNotes = 256;

/** The items that all kept notes without effect may have together. */
constexpr std::size_t kMostRejectedItems = 16384;

/** The withdrawn names of each kind that are kept by name. */
constexpr std::size_t kMostWithdrawnNames = 8192;

/** Drops the oldest entries beyond the bounds. The newest accepted note
 * always stays. */
void TrimHistory(Configuration* configuration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_HISTORY_LIMITS_H_
