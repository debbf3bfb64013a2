#ifndef LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_
#define LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_

// Defines SetTcpOptions, how connections notice a peer that is gone.

#include <boost/asio/ip/tcp.hpp>

namespace lacewingferry {

/** Sends small writes at once, and ends the connection when the other side is
 * silent for seconds: a machine without power, or behind a cut, says
 * nothing. */
void SetTcpOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_TCP_OPTIONS_H_
