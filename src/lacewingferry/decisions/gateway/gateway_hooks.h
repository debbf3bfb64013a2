#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_

// Defines GatewayHooks, the effects of the gateway, and GatewaySettings, its
// time limits.

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/member_request.h"
#include "lacewingferry/core/messages/lease_messages.h"
#include "lacewingferry/core/messages/permit_messages.h"
#include "lacewingferry/decisions/gateway/statement_run.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** The effects of the gateway. A hook must not call the gateway before it
 * returns. */
struct GatewayHooks {
  /** Answers a client's statement. */
  std::function<void(ClientId, const ClientReply&)> reply;
  /** Closes a client's session. */
  std::function<void(ClientId)> close_client;
  /** Opens a connection to a member. Gateway::OnLinkOpened or
   * Gateway::OnLinkLost follows. */
  std::function<void(LinkId, const LinkTarget&)> open_link;
  /** Sends requests in one batch. One reply follows for each, in order. */
  std::function<void(LinkId, const std::vector<MemberRequest>&)> send;
  /** Closes a connection. No further callback follows for it. */
  std::function<void(LinkId)> close_link;
  /** Reports that no commit is acknowledged any more in terms before
   * before_term, and the highest acknowledged position. */
  std::function<void(const DatabaseId&, std::uint64_t before_term,
                     const LogPosition& acknowledged)>
      recalled;
  /** Reports that a statement that needed a member has ended. */
  std::function<void(const StatementRun&, const ClientReply&,
                     std::chrono::nanoseconds took)>
      ended;
  /** Asks control for permits for operations of customers with a rate limit.
   * Gateway::OnPermits follows, unless a message is lost. */
  std::function<void(const PermitRequest&)> request_permits;
  EventPort events;
};

/** The time limits of the gateway. */
struct GatewaySettings {
  AvailabilityZone zone;
  /** The region of each availability zone. */
  std::map<AvailabilityZone, std::string> regions;
  /** A read that is unanswered for this long is also sent to a second
   * member. */
  std::chrono::milliseconds hedge_delay{250};
  /** The delay before the next request to a member that answered busy. */
  std::chrono::milliseconds busy_retry_delay{15};
  /** The delay before a replica that had not applied a position is asked for
   * that position again. */
  std::chrono::milliseconds lagging_retry_delay{80};
  /** The delay after a failed connection attempt. Doubles with each failure up
   * to max_reconnect_delay. */
  std::chrono::milliseconds reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{1000};
  /** Connections to members that no statement needs yet are opened this long
   * after the first view, with this interval between them. */
  std::chrono::milliseconds warmup_delay{2000};
  std::chrono::milliseconds warmup_interval{300};
  /** A connection attempt or a roll-back that takes longer fails. */
  std::chrono::milliseconds connect_timeout{1200};
  /** A statement is refused at once if the time it has waited plus its expected
   * wait exceeds its latency objective divided by this number. */
  int max_wait_divisor = 2;
  /** Waiting statements are refused this long before their deadline, so that
   * the refusal reaches the client in time. */
  std::chrono::milliseconds refusal_margin{30};
  /** How long a session opening may wait for the first configuration or a known
   * owner. Clients time out shortly after this. */
  std::chrono::milliseconds session_open_timeout{1700};
  /** How long a transaction may go on after its customer's key was
   * withdrawn. */
  std::chrono::milliseconds withdrawn_key_grace{2000};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_GATEWAY_HOOKS_H_
