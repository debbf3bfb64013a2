#ifndef LACEWINGFERRY_PORTS_MEMBER_PORT_H_
#define LACEWINGFERRY_PORTS_MEMBER_PORT_H_

// Defines the port to the backend servers: connections that run batches of
// statements.

#include <cstdint>
#include <functional>

#include "lacewingferry/core/member_statement.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Names a connection to a member; never used twice in one process. */
using ConnectionId = std::uint64_t;

/** Why a connection could not be opened or was lost. */
enum class ConnectionFailure : std::uint8_t {
  kRefused,
  kTooManyConnections,
  kLost,
};

/** Opens, uses and closes connections. Each call returns at once; what came
 * of it arrives as one of MemberEvents on the same thread, never within the
 * call itself. */
struct MemberPort {
  std::function<void(ConnectionId, const MemberInfo&)> open;
  /** Sends a batch; one batch at a time on a connection. */
  std::function<void(ConnectionId, const MemberBatch&)> execute;
  /** Closes a connection; no event follows for it. */
  std::function<void(ConnectionId)> close;
};

/** What the port reports. A lost connection is reported once, also when it
 * failed to open, and answers no batch afterwards. */
struct MemberEvents {
  std::function<void(ConnectionId)> opened;
  std::function<void(ConnectionId, ConnectionFailure)> lost;
  std::function<void(ConnectionId, const MemberBatchResult&)> completed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_MEMBER_PORT_H_
