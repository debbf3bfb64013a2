#include "lacewingferry/decisions/membership/announcement_check.h"

#include <algorithm>
#include <cctype>
#include <string>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::uint32_t kMaxSlots = 10000;

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void CheckName(const char* what, const std::string& value,
               std::string& problems) {
  if (IsValidName(value)) return;
  problems += std::string(what) + " '" + value.substr(0, kMaxNameLength) +
              "' is not a name of letters, digits, '-', '_' and '.'; ";
}

}  // namespace

void CheckAnnouncement(const MemberAnnouncement& announcement) {
  const MemberInfo& info = announcement.info;
  std::string problems;
  CheckName("member", info.id.Value(), problems);
  CheckName("database", info.database.Value(), problems);
  CheckName("group", info.group.Value(), problems);
  CheckName("zone", info.zone.Value(), problems);
  CheckName("host", info.endpoint.host, problems);
  if (info.endpoint.port == 0) problems += "port 0 can't be connected to; ";
  if (info.slots == 0 || info.slots > kMaxSlots) {
    problems += "slots " + std::to_string(info.slots) + " is not within 1 to " +
                std::to_string(kMaxSlots) + "; ";
  }
  if (announcement.position.term > announcement.term) {
    problems += "position's term " +
                std::to_string(announcement.position.term) +
                " is after the member's term " +
                std::to_string(announcement.term) + "; ";
  }
  if (problems.empty()) return;
  problems.resize(problems.size() - 2);
  throw UserError("announcement rejected: " + problems);
}

void CheckSameDatabase(const MemberAnnouncement& known,
                       const MemberAnnouncement& offered) {
  const MemberInfo& held = known.info;
  const MemberInfo& info = offered.info;
  if (held.database == info.database && held.group == info.group) return;
  throw UserError("announcement rejected: member '" + info.id.Value() +
                  "' is announced for database '" + info.database.Value() +
                  "' of group '" + info.group.Value() +
                  "' while it serves database '" + held.database.Value() +
                  "' of group '" + held.group.Value() + "'");
}

}  // namespace lacewingferry
