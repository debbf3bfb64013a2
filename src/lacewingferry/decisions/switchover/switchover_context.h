#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_

// Defines SwitchoverContext, what the keepers of all groups share.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/roster/roster.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_admin_port.h"

namespace lacewingferry {

/** What the keeper of a group acts through. */
struct SwitchoverHooks {
  MemberAdminPort admin;
  PromotionPort promotion;
  /** Appends a command to the control log; it may get lost. */
  std::function<void(const DatabaseCommand&)> propose;
  /** Asks the holders of leases on earlier terms to give them up. */
  std::function<void(const DatabaseStamp& current,
                     std::chrono::milliseconds patience)>
      recall;
  /** When no lease on an earlier term can be in force any more. */
  std::function<std::chrono::steady_clock::time_point(const DatabaseStamp&)>
      free_at;
  /** Whether this process leads control at this very moment. */
  std::function<bool()> leads;
  /** Rises with each change of the leader of control. */
  std::function<std::uint64_t()> fence;
  /** The present, for answers that come later. */
  std::function<std::chrono::steady_clock::time_point()> now;
  EventPort events;
};

/** The durations of watching and replacing primaries. */
struct SwitchoverSettings {
  /** Between two questions to a primary; its position is shared with all
   * proxies, so this bounds the age of what replicas may serve. */
  std::chrono::milliseconds poll_interval{200};
  /** Until a question counts as unanswered. */
  std::chrono::milliseconds answer_limit{350};
  /** The same during a switchover, whose questions may meet members that are
   * overloaded. */
  std::chrono::milliseconds patient_limit{1500};
  /** How long a position that proxies acknowledged is waited for when every
   * replica was asked. It may count commits that no replica had received and
   * nobody acknowledged. */
  std::chrono::milliseconds acknowledged_wait{2000};
  /** Between two questions to a replica, which keep its connection open for a
   * switchover. */
  std::chrono::milliseconds replica_interval{1000};
  /** Between two rounds of a switchover. */
  std::chrono::milliseconds round{50};
  /** How long writes under way may take to end when a live primary leaves. */
  std::chrono::milliseconds planned_patience{400};
  /** The same for a primary that is lost, whose writes get no answer. */
  std::chrono::milliseconds lost_patience{30};
  /** Between two requests to give up leases. */
  std::chrono::milliseconds recall_interval{200};
  /** How long replicas may take to reach a leaving primary's position. */
  std::chrono::milliseconds catch_up{1000};
  /** Between two calls for the same promotion. */
  std::chrono::milliseconds promotion_retry{250};
  /** Until another member is chosen in a new term. */
  std::chrono::milliseconds promotion_limit{4000};
  /** Between two proposals of the same change. */
  std::chrono::milliseconds proposal_retry{500};
  /** How long a group's first members are waited for. */
  std::chrono::milliseconds adoption_wait{1500};
};

/** The shared part of the groups at the leader of control. */
struct SwitchoverContext {
  SwitchoverHooks hooks;
  SwitchoverSettings settings;
  const DatabaseTerms& terms;
  const Roster& roster;
  NodeId self;
};

/** The connection target of a member. */
inline LinkTarget TargetOf(const MemberAnnouncement& member) {
  return LinkTarget{member.info.database, member.info.id, member.info.endpoint};
}

/** A request of control to a member; the term matters to a pause and to a
 * primary that steps down. */
inline MemberRequest AdminRequest(MemberRequestKind kind,
                                  std::uint64_t term = 0) {
  MemberRequest request;
  request.kind = kind;
  request.term = term;
  return request;
}

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_SWITCHOVER_CONTEXT_H_
