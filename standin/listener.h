#ifndef STANDIN_LISTENER_H_
#define STANDIN_LISTENER_H_

// Defines Listener, which accepts TCP connections.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** Accepts connections until it is stopped. Kept alive by its pending
 * operation. */
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  using AcceptHook = std::function<void(boost::asio::ip::tcp::socket)>;

  /** Listens; port 0 takes a free one. Throws boost::system::system_error. */
  Listener(boost::asio::io_context& context, const Endpoint& endpoint);

  /** Passes each connection to the hook. After an error, such as too many
   * open files, it accepts again after a pause. */
  void Start(AcceptHook accept_hook);

  /** Stops to listen; the hook isn't called afterwards. */
  void Stop();

  /** The port that is listened on. */
  std::uint16_t Port() const { return this->port; }

 private:
  void Accept();
  void AcceptLater();

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer pause;
  std::uint16_t port;
  AcceptHook accepted;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_LISTENER_H_
