#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_

// Defines SwitchoverContext, the hooks, settings and replicated state that the
// group managers share.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/ended_runs.h"
#include "lacewingferry/decisions/roster/roster.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** The hooks of a group manager. */
struct SwitchoverHooks {
  MemberAdminPort admin;
  PromotionPort promotion;
  /** Counts a call for a promotion that ended. */
  std::function<void(PromotionResult)> promotion_ended;
  /** Counts a member that leads a term which control didn't confirm. */
  std::function<void()> unchosen_primary;
  /** Appends a command to the control log; the command may get lost. */
  std::function<void(const DatabaseCommand&)> propose;
  /** Appends what ended runs are covered; the command may get lost. */
  std::function<void(const CoverEndedRuns&)> cover;
  /** Asks the holders of leases on earlier terms to release them. */
  std::function<void(const DatabaseStamp& current,
                     std::chrono::milliseconds drain_timeout)>
      recall;
  /** The time from which no lease on an earlier term can be in force. */
  std::function<std::chrono::steady_clock::time_point(const DatabaseStamp&)>
      leases_expire_at;
  /** Whether every proxy that could acknowledge under an earlier term at a time
   * or later has reported what it acknowledged. */
  std::function<bool(std::chrono::steady_clock::time_point since,
                     const DatabaseStamp&)>
      all_reported_since;
  /** Whether this process is the control leader at the time of the call. */
  std::function<bool()> leads;
  /** The fencing token, which rises with each change of the control leader. */
  std::function<std::uint64_t()> fence;
  /** The current time, for answers that arrive asynchronously. */
  std::function<std::chrono::steady_clock::time_point()> now;
  EventPort events;
};

/** The durations of monitoring and replacing primaries. */
struct SwitchoverSettings {
  /** The interval between status requests to a primary. Its position is sent to
   * all proxies, so this bounds the age of the data that replicas may serve. */
  std::chrono::milliseconds poll_interval{200};
  /** How long a member may take to answer a status request. */
  std::chrono::milliseconds answer_timeout{350};
  /** The same during a switchover, which may have to ask overloaded members. */
  std::chrono::milliseconds switchover_answer_timeout{1500};
  /** The interval between status requests to a replica. They keep its
   * connection open for a switchover. */
  std::chrono::milliseconds replica_poll_interval{1000};
  /** The interval between two rounds of a switchover. */
  std::chrono::milliseconds round_interval{50};
  /** How long proxies may let writes in progress end when a live primary
   * leaves. */
  std::chrono::milliseconds planned_drain_timeout{400};
  /** The same for a lost primary, whose writes get no answer. */
  std::chrono::milliseconds lost_drain_timeout{30};
  /** The interval between two requests to release leases. */
  std::chrono::milliseconds recall_interval{200};
  /** How long replicas may take to reach the position of a leaving primary. */
  std::chrono::milliseconds catch_up_timeout{1000};
  /** The interval between two requests for the same promotion. */
  std::chrono::milliseconds promotion_retry_interval{250};
  /** How long a promotion may take before a new term is begun. */
  std::chrono::milliseconds promotion_timeout{4000};
  /** For how long a call for a promotion may be on its way to the platform;
   * the kernel of its caller drops it after that. A new leader calls nobody for
   * as long, so that no lower fence arrives after its own. */
  std::chrono::milliseconds promotion_delivery_limit{500};
  /** How long after its end a call may take effect: its way, and the "some
   * hundred ms" within which the platform carries out what it took. No other
   * member is promoted or kept until then. */
  std::chrono::milliseconds promotion_effect_limit{2500};
  /** The interval between two questions to a member that was paused and not
   * chosen: it may have been promoted by an earlier call since. */
  std::chrono::milliseconds repeated_pause_interval{500};
  /** The interval between two proposals of the same change. */
  std::chrono::milliseconds proposal_retry_interval{500};
  /** How long to wait for further members of a new group and for their answers
   * before the group is adopted with those that are known. */
  std::chrono::milliseconds adoption_timeout{1500};
};

/** What the group managers of the control leader share. */
struct SwitchoverContext {
  SwitchoverHooks hooks;
  SwitchoverSettings settings;
  const DatabaseTerms& terms;
  const Roster& roster;
  const EndedRuns& ended_runs;
  NodeId self;
};

/** The connection target of a member. */
inline LinkTarget TargetOf(const MemberAnnouncement& member) {
  return LinkTarget{member.info.database, member.info.id, member.info.endpoint};
}

/** An administrative request to a member. The term is used by kPause and
 * kStepDown only. */
inline MemberRequest AdminRequest(MemberRequestKind kind,
                                  std::uint64_t term = 0) {
  MemberRequest request;
  request.kind = kind;
  request.term = term;
  return request;
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_
