#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_

// Defines TrafficHooks and TrafficSettings, the outward calls and the settings
// of the classes that route and run requests.

#include <cstdint>
#include <functional>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/decisions/execution/job_run.h"
#include "lacewingferry/decisions/execution/member_observation.h"
#include "lacewingferry/decisions/execution/transaction_table.h"
#include "lacewingferry/ports/event_port.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** The calls that the traffic classes make to the outside. */
struct TrafficHooks {
  MemberPort port;
  EventPort events;
  /** Sends a message to another proxy; delivery is not guaranteed. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** Returns an id for a new connection, unique in the process. */
  std::function<ConnectionId()> next_connection;
  /** Called with what requests show of the state of a member; may be empty. */
  MemberObservationHook observe;
  /** Encodes and decodes the stored answers of requests with a request id. */
  AnswerCodec codec;
};

/** The identity of this proxy and the settings of its traffic classes. */
struct TrafficSettings {
  NodeId node;
  AvailabilityZone zone;
  /** Differs between runs of the process. */
  std::uint64_t incarnation = 0;
  TransactionLimits transactions{};
  /** Whether no connection may be opened before the first SeatTable. */
  bool needs_seats = false;
  /** The lease end that applies until the control service grants a lease. */
  std::chrono::steady_clock::time_point first_lease =
      std::chrono::steady_clock::time_point::max();
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_
