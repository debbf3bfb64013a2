#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_

// Defines TrafficHooks, what the traffic decisions act through, and
// TrafficSettings, for whom they decide.

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

/** What the traffic decisions act through. */
struct TrafficHooks {
  MemberPort port;
  EventPort events;
  /** Sends a message to another proxy; it may get lost. */
  std::function<void(const NodeId&, const PeerBody&)> send;
  /** A number for a new connection, unique in the process. */
  std::function<ConnectionId()> next_connection;
  /** Told what the traffic shows of the members; may be empty. */
  MemberObservationHook observe;
  /** Writes and reads the stored answers of identified requests. */
  AnswerCodec codec;
};

/** Who decides, and how. */
struct TrafficSettings {
  NodeId node;
  AvailabilityZone zone;
  /** Differs between the runs of a process. */
  std::uint64_t incarnation = 0;
  TransactionLimits transactions{};
  /** Whether no connection is opened before a SeatTable allows it. */
  bool needs_seats = false;
  /** The end of the lease before control has granted one. */
  std::chrono::steady_clock::time_point first_lease =
      std::chrono::steady_clock::time_point::max();
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_TRAFFIC_HOOKS_H_
