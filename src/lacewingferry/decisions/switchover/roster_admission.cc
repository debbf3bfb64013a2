#include "lacewingferry/decisions/switchover/roster_admission.h"

#include <string>
#include <utility>

#include "lacewingferry/core/endpoint_text.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/roster/member_run_text.h"

namespace lacewingferry {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

/** At most this many rejections are told in each period; the others are only
 * counted. */
constexpr std::uint64_t kToldInPeriod = 20;
constexpr seconds kPeriod{10};

AnnouncementResult ResultOf(EntryVerdict verdict) {
  switch (verdict) {
    case EntryVerdict::kAccepted:
      return AnnouncementResult::kAccepted;
    case EntryVerdict::kOutdated:
      return AnnouncementResult::kOutdated;
    case EntryVerdict::kRefused:
      return AnnouncementResult::kRefused;
    case EntryVerdict::kTooEarly:
      return AnnouncementResult::kUnknown;
  }
  throw InternalError("EntryVerdict value without a result");
}

}  // namespace

RosterAdmission::RosterAdmission(const Roster& members,
                                 RosterAdmissionHooks admission_hooks)
    : roster(members), hooks(std::move(admission_hooks)) {}

void RosterAdmission::OnAnnouncement(steady_clock::time_point now,
                                     const ServiceConfiguration& configuration,
                                     const MemberAnnouncement& announcement,
                                     Done done) {
  const EntryDecision decision =
      CheckEntry(this->roster, configuration, announcement);
  if (decision.verdict != EntryVerdict::kAccepted) {
    this->Reject(now, announcement, decision);
    done(ResultOf(decision.verdict));
    return;
  }
  this->hooks.heard(now, announcement);
  if (!this->roster.WouldChange(announcement)) {
    done(AnnouncementResult::kAccepted);
    return;
  }
  const MemberInfo& info = announcement.info;
  this->hooks.events.record(
      Event{EventCode::kMemberAnnounced,
            EventLevel::kInfo,
            {{"member", info.id.Value()},
             {"database", info.database.Value()},
             {"address", FormatEndpoint(info.endpoint)},
             {"leaving", info.leaving ? "yes" : "no"},
             {"sequence", std::to_string(announcement.sequence)},
             {"incarnation", std::to_string(announcement.incarnation)},
             {"ends", FormatRuns(decision.ends)}}});
  this->Propose(RosterCommand{EnterMember{announcement}}, std::move(done));
}

void RosterAdmission::OnFarewell(steady_clock::time_point now,
                                 const MemberFarewell& farewell, Done done) {
  const MemberId& member = farewell.member;
  const MemberAnnouncement* known = this->roster.Find(member);
  if (known == nullptr) {
    done(AnnouncementResult::kAccepted);
    return;
  }
  const std::uint64_t run = farewell.incarnation.value_or(known->incarnation);
  if (run < known->incarnation) {
    // The run that says so is off the roster already.
    this->RecordRejection(
        now, Event{EventCode::kAnnouncementRejected,
                   EventLevel::kWarning,
                   {{"member", member.Value()},
                    {"incarnation", std::to_string(run)},
                    {"reason", "a farewell of an earlier run of the member"},
                    {"holders", FormatRuns({{member, known->incarnation}})}}});
    done(AnnouncementResult::kAccepted);
    return;
  }
  this->hooks.events.record(Event{EventCode::kMemberLost,
                                  EventLevel::kInfo,
                                  {{"member", member.Value()},
                                   {"incarnation", std::to_string(run)},
                                   {"reason", "the member deregistered"}}});
  this->Propose(RosterCommand{LeaveMember{member, run}}, std::move(done));
}

void RosterAdmission::Reject(steady_clock::time_point now,
                             const MemberAnnouncement& announcement,
                             const EntryDecision& decision) {
  const MemberInfo& info = announcement.info;
  this->RecordRejection(
      now, Event{EventCode::kAnnouncementRejected,
                 EventLevel::kWarning,
                 {{"member", info.id.Value()},
                  {"database", info.database.Value()},
                  {"address", FormatEndpoint(info.endpoint)},
                  {"incarnation", std::to_string(announcement.incarnation)},
                  {"reason", decision.reason},
                  {"holders", FormatRuns(decision.holders)}}});
}

/** Counts a rejection, and tells it unless many were told lately. */
void RosterAdmission::RecordRejection(steady_clock::time_point now,
                                      Event event) {
  ++this->rejected;
  if (now - this->period_start >= kPeriod) {
    this->period_start = now;
    this->told_in_period = 0;
  }
  if (this->told_in_period >= kToldInPeriod) {
    ++this->untold;
    return;
  }
  ++this->told_in_period;
  event.fields.emplace_back("untold",
                            std::to_string(std::exchange(this->untold, 0)));
  this->hooks.events.record(event);
}

void RosterAdmission::Propose(const RosterCommand& command, Done done) {
  this->hooks.propose(ControlCommand{command},
                      [done = std::move(done)](bool applied) {
                        done(applied ? AnnouncementResult::kAccepted
                                     : AnnouncementResult::kUnknown);
                      });
}

}  // namespace lacewingferry
