#ifndef STANDIN_PLATFORM_HELD_LINK_H_
#define STANDIN_PLATFORM_HELD_LINK_H_

// Defines HeldLink, a network path that can hold up the bytes of one
// connection, as a partition does.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** Forwards connections from one address to another. All calls are made on the
 * thread of the io_context. */
class HeldLink {
 public:
  /** Listens at once. Throws if the address can't be used. */
  HeldLink(boost::asio::io_context& link_io, const Endpoint& listen,
           const Endpoint& target);

  /** Holds up all that the next connection sends that sends anything. */
  void HoldNext() { this->armed = true; }

  /** What is held up; none if nothing is, or if its sender reset the
   * connection, which loses it. */
  std::optional<std::string> Held() const;

  /** The partition heals: what is held up arrives. */
  void Deliver();

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& io;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint destination;
  bool armed = false;
  std::shared_ptr<Connection> held;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_HELD_LINK_H_
