#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_H_

// Defines HttpServer, an HTTP/1.1 server over Boost.Beast.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "lacewingferry/adapters/http/http_limits.h"
#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Accepts connections and spreads them over threads. Each connection lives
 * on one of them, where the handler is called. */
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  /** One handler for each thread's io_context. */
  struct Thread {
    boost::asio::io_context* io;
    HttpHandler handler;
  };

  /** Listens at once. Throws UserError if the address can't be used. */
  HttpServer(std::vector<Thread> threads, const Endpoint& listen,
             HttpLimits limits);

  /** Starts to accept. Keeps itself alive until Stop. */
  void Start();

  /** Takes no more connections and answers each open one's next request with
   * "Connection: close". Call on the first thread. */
  void Stop();

  /** The requests that began to arrive and whose answers aren't written yet.
   * Any thread may ask. */
  std::size_t Exchanges() const;

  /** The port in use, also when the settings gave 0. */
  std::uint16_t Port() const;

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket, std::size_t thread);

  std::vector<Thread> threads;
  boost::asio::ip::tcp::acceptor acceptor;
  HttpLimits limits;
  std::size_t next_thread = 0;
  std::shared_ptr<struct HttpServerState> state;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_H_
