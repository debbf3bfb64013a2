#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_SERVER_PROBE_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_SERVER_PROBE_H_

// Defines ProbeServer, which tests whether a PostgreSQL server answers without
// occupying a connection slot.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** What a probe of a server found. */
enum class ServerProbeResult : std::uint8_t {
  /** The server process answered. */
  kAnswered,
  /** Its machine refused the connection. */
  kRefused,
  /** No answer came within the timeout. */
  kTimedOut,
};

using ServerProbeHook = std::function<void(ServerProbeResult)>;

/**
 * Connects, asks for encryption and disconnects after the first byte of the
 * answer. PostgreSQL answers that request before the session starts, so it
 * needs neither a user nor a slot. The hook runs once on the context's thread,
 * never within the call. It doesn't run if the context ends first.
 */
void ProbeServer(boost::asio::io_context& context, const Endpoint& server,
                 std::chrono::milliseconds timeout, ServerProbeHook on_result);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_SERVER_PROBE_H_
