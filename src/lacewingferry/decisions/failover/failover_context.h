#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_

// Defines FailoverContext, what the parts of failover at the control leader
// share: their hooks, their durations and the known members.

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

/** What the control leader's failover acts through. */
struct FailoverHooks {
  /** Sends to a proxy; the message may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Appends a command to the control log; it is in force once it comes back
   * through FailoverManager::OnApplied, which may never happen. */
  std::function<void(std::chrono::steady_clock::time_point now,
                     const DatabaseCommand&)>
      propose;
  /** The live proxies that can reach a member, its owners first. */
  std::function<std::vector<NodeId>(const MemberInfo&)> owners;
  /** The live proxies. */
  std::function<std::vector<NodeId>()> proxies;
  EventPort events;
};

/** The durations of failover. */
struct FailoverSettings {
  LeaseTiming lease;
  /** How long an observer waits for an answer before a member is silent. */
  std::chrono::milliseconds observer_patience{150};
  /** The pause before a replica's next owner is asked as well. */
  std::chrono::milliseconds inquiry_retry{120};
  /** The end of an inquiry that proved nothing. */
  std::chrono::milliseconds inquiry_limit{700};
  /** The pause after such an inquiry, and after a promotion, before silence
   * opens the next one. Refused connections open one at any time. */
  std::chrono::milliseconds hold_down{500};
  /** All holders of a term silent for this long open an inquiry. */
  std::chrono::milliseconds holder_silence{300};
  /** The pause before a command goes to the member's next owner. */
  std::chrono::milliseconds command_retry{120};
  /** The longest pause between two attempts of a command. */
  std::chrono::milliseconds command_retry_limit{500};
  /** How long a promotion may take before the next term begins. */
  std::chrono::milliseconds promotion_patience{600};
  /** The pause before a proposal that was not applied is repeated. */
  std::chrono::milliseconds proposal_retry{400};
  /** The pause between two orders to a member that doesn't follow. */
  std::chrono::milliseconds rejoin_pause{2000};
  /** A replica of which nothing was heard for this long is lost, and a new
   * member may take its place. Long against a restart of its VM. */
  std::chrono::milliseconds member_lost_after{std::chrono::minutes(15)};
  /** How long a change of members may take to be proved safe before it is
   * begun anew. */
  std::chrono::milliseconds member_proof_limit{10000};
  /** How many members a database has when whole. */
  std::uint32_t group_size = 3;
};

/** The shared part of failover at the control leader. */
struct FailoverContext {
  FailoverHooks hooks;
  FailoverSettings settings;
  const DatabaseTerms& terms;
  /** The newest announcement of each member. Kept also after the member fell
   * silent, so that it can be asked. */
  std::map<MemberId, MemberAnnouncement> members{};

  /** The newest announcement of a member; nullptr before its first. */
  const MemberAnnouncement* FindMember(const MemberId& id) const {
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_FAILOVER_CONTEXT_H_
