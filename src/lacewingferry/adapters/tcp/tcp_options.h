#ifndef LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_
#define LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_

// Defines the options of connections: how they notice a peer that is gone, and
// for how long what was written may be on its way.

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace lacewingferry {

/** Sends small writes at once, and ends the connection when the other side is
 * silent for seconds: a machine without power, or behind a cut, says
 * nothing. */
void SetTcpOptions(boost::asio::ip::tcp::socket& socket);

/** Has the kernel reset the connection if bytes that were written stay
 * unacknowledged for longer than the limit, and whenever the socket is closed,
 * by the end of the process as well. Bytes that the other side doesn't have by
 * then are dropped. Returns whether the kernel agreed. */
bool BoundDelivery(boost::asio::ip::tcp::socket& socket,
                   std::chrono::milliseconds limit);

/** Undoes BoundDelivery for the socket's closing: nothing is unacknowledged any
 * more. */
void CloseWithoutReset(boost::asio::ip::tcp::socket& socket);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_
