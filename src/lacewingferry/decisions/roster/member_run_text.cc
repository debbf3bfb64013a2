#include "lacewingferry/decisions/roster/member_run_text.h"

namespace lacewingferry {

std::string FormatRun(const MemberRun& run) {
  return run.member.Value() + "@" + std::to_string(run.incarnation);
}

std::string FormatRuns(const std::vector<MemberRun>& runs) {
  std::string text;
  for (const MemberRun& run : runs) {
    if (!text.empty()) text += " ";
    text += FormatRun(run);
  }
  return text;
}

}  // namespace lacewingferry
