#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_ROSTER_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_ROSTER_ADMISSION_H_

// Defines RosterAdmission, which takes members' announcements and farewells for
// the control leader.

#include <chrono>
#include <cstdint>
#include <functional>

#include "lacewingferry/core/control_command.h"
#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/roster/roster.h"
#include "lacewingferry/decisions/switchover/entry_check.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** The result of an announcement or a farewell. */
enum class AnnouncementResult : std::uint8_t {
  kAccepted,
  /** It comes from an earlier incarnation of the member, or from a member whose
   * address a later one has taken. */
  kOutdated,
  /** It names no member to use. */
  kRefused,
  /** It may or may not have been applied; the member must repeat it. */
  kUnknown,
};

struct RosterAdmissionHooks {
  /** An announcement that is accepted, whether or not it says anything new. */
  std::function<void(std::chrono::steady_clock::time_point,
                     const MemberAnnouncement&)>
      heard;
  /** Appends a command to the control log and reports whether it was
   * applied. */
  std::function<void(const ControlCommand&, std::function<void(bool)>)> propose;
  EventPort events;
};

/** Proposes what changes the roster, and tells and counts what is rejected. */
class RosterAdmission {
 public:
  using Done = std::function<void(AnnouncementResult)>;

  RosterAdmission(const Roster& members, RosterAdmissionHooks admission_hooks);

  void OnAnnouncement(std::chrono::steady_clock::time_point now,
                      const ServiceConfiguration& configuration,
                      const MemberAnnouncement& announcement, Done done);

  /** Takes a farewell, which ends no run that began after its own. */
  void OnFarewell(std::chrono::steady_clock::time_point now,
                  const MemberFarewell& farewell, Done done);

  /** How many announcements and farewells were not accepted since the process
   * started. */
  std::uint64_t RejectedCount() const { return this->rejected; }

 private:
  void Reject(std::chrono::steady_clock::time_point now,
              const MemberAnnouncement& announcement,
              const EntryDecision& decision);
  void RecordRejection(std::chrono::steady_clock::time_point now, Event event);
  void Propose(const RosterCommand& command, Done done);

  const Roster& roster;
  RosterAdmissionHooks hooks;
  std::uint64_t rejected = 0;
  /** The period in which rejections are told, and how many were. */
  std::chrono::steady_clock::time_point period_start;
  std::uint64_t told_in_period = 0;
  /** Rejections since the last one that was told. */
  std::uint64_t untold = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ROSTER_ADMISSION_H_
