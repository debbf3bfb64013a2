#include "lacewingferry/decisions/switchover/entry_check.h"

namespace lacewingferry {
namespace {

bool IsSameRun(const MemberAnnouncement& a, const MemberAnnouncement& b) {
  return a.info.id == b.info.id && a.incarnation == b.incarnation;
}

bool IsSamePlace(const MemberAnnouncement& a, const MemberAnnouncement& b) {
  return a.info.database == b.info.database &&
         a.info.endpoint == b.info.endpoint;
}

/** The runs on the roster that have the ID or the address of an entry. */
std::vector<MemberRun> HoldersOfItsPlace(const Roster& roster,
                                         const MemberAnnouncement& entry) {
  std::vector<MemberRun> holders;
  for (const auto& [id, known] : roster.Members()) {
    const bool holds =
        id == entry.info.id || known.info.endpoint == entry.info.endpoint;
    if (holds) holders.push_back({id, known.incarnation});
  }
  return holders;
}

}  // namespace

EntryDecision CheckEntry(const Roster& roster,
                         const ServiceConfiguration& configuration,
                         const MemberAnnouncement& announcement) {
  const MemberInfo& info = announcement.info;
  const MemberAnnouncement* known = roster.Find(info.id);
  const bool same_run = known != nullptr && IsSameRun(*known, announcement);
  // Also a member of a service that was withdrawn may say that it leaves.
  if (same_run && IsSamePlace(*known, announcement)) return {};
  const auto reject = [&](EntryVerdict verdict, const char* reason) {
    return EntryDecision{
        verdict, reason, {}, HoldersOfItsPlace(roster, announcement)};
  };
  if (configuration.version == 0) {
    return reject(EntryVerdict::kTooEarly, "no configuration is in force yet");
  }
  if (configuration.FindService(info.database) == nullptr) {
    return reject(EntryVerdict::kRefused,
                  "no configuration in force has its service");
  }
  const bool known_in_service =
      known != nullptr &&
      configuration.FindService(known->info.database) != nullptr;
  if (known_in_service && known->info.database != info.database) {
    return reject(EntryVerdict::kRefused,
                  "its ID belongs to a member of another service");
  }
  if (known_in_service && same_run) {
    return reject(EntryVerdict::kRefused,
                  "a run of a member keeps its address");
  }
  if (roster.IsOutdated(announcement)) {
    return reject(EntryVerdict::kOutdated,
                  "a later run of the member, or of another at its address, is "
                  "known");
  }
  EntryDecision accepted;
  const RosterCommand command{EnterMember{announcement}};
  for (const MemberAnnouncement& ended : roster.EndedBy(command)) {
    accepted.ends.push_back({ended.info.id, ended.incarnation});
  }
  return accepted;
}

}  // namespace lacewingferry
