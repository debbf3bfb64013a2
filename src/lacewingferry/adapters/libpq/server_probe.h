#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_SERVER_PROBE_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_SERVER_PROBE_H_

// Defines ProbeServer, which tests whether a PostgreSQL server answers without
// occupying a connection slot.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "lacewingferry/core/messages/failover_messages.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Gets kAnswers, kRefuses, or kSilent after the timeout. */
using ServerProbeHook = std::function<void(MemberSight)>;

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
