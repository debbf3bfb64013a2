#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_ENTRY_CHECK_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_ENTRY_CHECK_H_

// Defines CheckEntry, which decides whether an announcement may change the
// roster.

#include <cstdint>
#include <vector>

#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/roster/roster.h"

namespace lacewingferry {

enum class EntryVerdict : std::uint8_t {
  kAccepted,
  /** It comes from an earlier run than a known one. */
  kOutdated,
  /** It names no member to use. */
  kRefused,
  /** No configuration names services yet. */
  kTooEarly,
};

/** The verdict on an announcement. */
struct EntryDecision {
  EntryVerdict verdict = EntryVerdict::kAccepted;
  /** Why it isn't accepted. */
  const char* reason = "";
  /** The runs on the roster that it ends; none unless it is accepted. */
  std::vector<MemberRun> ends;
  /** The runs on the roster that have its ID or its address; none if it is
   * accepted. */
  std::vector<MemberRun> holders;
};

/**
 * An announcement may come from another writer than the member that it names,
 * and an entry of the roster can end runs of others: those at its address and
 * earlier ones under its ID. A replica whose run is taken for ended though it
 * goes on may be the only one with acknowledged commits. So an entry may end
 * runs only on the word of a member of a service that is in force, and a run
 * keeps its service and its address. An ID stays with the service whose member
 * has it.
 *
 * Decided before an announcement is proposed. The roster itself applies all
 * that the control log holds, so that its replicas stay equal whatever release
 * wrote an entry.
 */
EntryDecision CheckEntry(const Roster& roster,
                         const ServiceConfiguration& configuration,
                         const MemberAnnouncement& announcement);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ENTRY_CHECK_H_
