#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_

// Defines FailoverContext, the hooks, settings and known members that the
// failover classes at the control leader share.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "lacewingferry/core/database_command.h"
#include "lacewingferry/core/messages/membership_messages.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/failover/database_terms.h"
#include "lacewingferry/decisions/lease/lease_timing.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** The hooks through which failover at the control leader acts. */
struct FailoverHooks {
  /** Sends a message to a proxy; it may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Proposes a command for the control log. It takes effect once it is applied
   * and passed to FailoverManager::OnApplied, which may never happen. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseCommand&)>
      propose;
  /** The live proxies that can reach a member, first those that own connections
   * to it. */
  std::function<std::vector<NodeId>(const MemberInfo&)> owners;
  /** The live proxies. */
  std::function<std::vector<NodeId>()> proxies;
  EventPort events;
};

/** Timeouts, intervals and the group size for failover. */
struct FailoverSettings {
  LeaseTiming lease;
  /** How long an observing proxy waits for an answer before it reports a member
   * as silent. */
  std::chrono::milliseconds observer_timeout{150};
  /** The time after which the next owner of a replica's connections is asked as
   * well. */
  std::chrono::milliseconds inquiry_retry_interval{120};
  /** The time after which an inquiry ends without proof. */
  std::chrono::milliseconds inquiry_timeout{700};
  /** After an inquiry has ended, or a primary was chosen or confirmed, silence
   * opens no inquiry for this long. Refused connections may open one at any
   * time. */
  std::chrono::milliseconds hold_down{500};
  /** An inquiry is opened when no lease on a database was renewed for this
   * long. */
  std::chrono::milliseconds holder_timeout{300};
  /** The first pause before a command is sent to the next owner of the member's
   * connections; later pauses are longer. */
  std::chrono::milliseconds command_retry_delay{120};
  /** The longest pause between two attempts of a command, and the timeout of
   * each attempt. */
  std::chrono::milliseconds max_command_retry_delay{500};
  /** How long a promotion may take before the next term begins. */
  std::chrono::milliseconds promotion_timeout{600};
  /** The time after which a proposal that was not applied is repeated. */
  std::chrono::milliseconds proposal_retry_interval{400};
  /** The pause between two attempts to make a member follow the primary. */
  std::chrono::milliseconds rejoin_retry_interval{2000};
  /** A replica that was silent for this long counts as lost, and a new member
   * may replace it. Much longer than a restart of its VM takes. */
  std::chrono::milliseconds member_lost_after{std::chrono::minutes(15)};
  /** How long it may take to prove a change of members safe before the proof
   * starts again. */
  std::chrono::milliseconds member_change_timeout{10000};
  /** The number of members of a complete database. */
  std::uint32_t group_size = 3;
};

/** The state that the failover classes at the control leader share. */
struct FailoverContext {
  FailoverHooks hooks;
  FailoverSettings settings;
  const DatabaseTerms& terms;
  /** The newest announcement of each member. Kept after the member stops
   * announcing itself, so that commands can still be sent to it. */
  std::map<MemberId, MemberAnnouncement> members{};

  /** The newest announcement of a member; nullptr before its first. */
  const MemberAnnouncement* FindMember(const MemberId& id) const {
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_
