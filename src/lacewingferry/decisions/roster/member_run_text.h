#ifndef LACEWINGFERRY_DECISIONS_ROSTER_MEMBER_RUN_TEXT_H_
#define LACEWINGFERRY_DECISIONS_ROSTER_MEMBER_RUN_TEXT_H_

// Defines how runs of members are written in logs.

#include <string>
#include <vector>

#include "lacewingferry/core/fleet_command.h"

namespace lacewingferry {

/** Writes a run as id@incarnation. */
std::string FormatRun(const MemberRun& run);

/** Writes runs one after the other, with blanks between them. */
std::string FormatRuns(const std::vector<MemberRun>& runs);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_ROSTER_MEMBER_RUN_TEXT_H_
