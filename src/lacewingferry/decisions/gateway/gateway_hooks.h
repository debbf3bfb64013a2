#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_

// Defines GatewayHooks, the effects of a proxy's traffic thread, and its
// durations.

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/member_request.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/decisions/gateway/statement_run.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What the gateway acts through. No hook may call the gateway before it
 * returns. */
struct GatewayHooks {
  /** Answers a client's statement. */
  std::function<void(ClientId, const ClientReply&)> reply;
  /** Ends a client's session at rest. */
  std::function<void(ClientId)> close_client;
  /** Opens a connection to a member; Gateway::OnLinkOpened or OnLinkLost
   * follows. */
  std::function<void(LinkId, const LinkTarget&)> open_link;
  /** Sends requests in one flight; a reply follows for each, in order. */
  std::function<void(LinkId, const std::vector<MemberRequest>&)> send;
  /** Closes a connection; nothing more comes of it. */
  std::function<void(LinkId)> close_link;
  /** Nothing more is acknowledged in terms before the given one. */
  std::function<void(const DatabaseId&, std::uint64_t before_term,
                     const LogPosition& acknowledged)>
      recalled;
  /** A statement that a member had to see has its answer. */
  std::function<void(const StatementRun&, const ClientReply&,
                     std::chrono::nanoseconds took)>
      ended;
  EventPort events;
};

/** The durations and limits of traffic. */
struct GatewaySettings {
  AvailabilityZone zone;
  /** The region of each availability zone. */
  std::map<AvailabilityZone, std::string> regions;
  /** A read without an answer for this long is also sent to another member. */
  std::chrono::milliseconds hedge_delay{250};
  /** The pause before a member that was busy is asked again. */
  std::chrono::milliseconds busy_pause{15};
  /** The pause before a replica that lacked a position is asked again. */
  std::chrono::milliseconds lagging_pause{80};
  /** The pause before a connection that failed is opened again. */
  std::chrono::milliseconds reconnect_pause{100};
  std::chrono::milliseconds longest_reconnect_pause{1000};
  /** How long after the start, and at what distance, connections are opened
   * to members that no statement needs yet. */
  std::chrono::milliseconds warming_delay{2000};
  std::chrono::milliseconds warming_pause{300};
  /** The time for a connection to open. */
  std::chrono::milliseconds connect_limit{1200};
  /** A statement whose wait is expected to take more than this part of its
   * latency objective, as a divisor, is refused at once. */
  int wait_divisor = 2;
  /** What a refusal takes off the time limit, so that it comes before it. */
  std::chrono::milliseconds refusal_margin{30};
  /** How long the opening of a session may wait for the first
   * configuration; clients give up a little later. */
  std::chrono::milliseconds opening_limit{1700};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_
