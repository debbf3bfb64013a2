#ifndef BENCH_PROCESSES_HTTP_CLIENT_H_
#define BENCH_PROCESSES_HTTP_CLIENT_H_

// Defines HttpClient, a blocking HTTP client that keeps its connection.

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::processes {

/** No whole answer came. */
class HttpFailure : public std::runtime_error {
 public:
  HttpFailure(const std::string& message, bool may_have_arrived)
      : std::runtime_error(message), request_sent(may_have_arrived) {}

  /** Whether the server may have received the request. */
  bool RequestSent() const { return this->request_sent; }

 private:
  bool request_sent;
};

/** Sends one request at a time to one server, and connects again after a
 * failure. For one thread. */
class HttpClient {
 public:
  explicit HttpClient(Endpoint server);

  /** Sends a request and waits for its answer. Throws HttpFailure, also when
   * the time is over; the connection is then closed. */
  HttpResponse Exchange(const HttpRequest& request,
                        std::chrono::milliseconds timeout);

  HttpResponse Get(const std::string& path, std::chrono::milliseconds timeout);
  HttpResponse Post(const std::string& path, const std::string& body,
                    std::chrono::milliseconds timeout);

 private:
  /** Runs one asynchronous operation to its end. */
  void Await(bool sent,
             const std::function<void(boost::system::error_code&)>& start);
  void Connect();
  /** Gives up a connection that the server closed while it rested; that is no
   * failure of the next request. */
  void DropIfClosed();

  Endpoint server;
  boost::asio::io_context io;
  std::optional<boost::beast::tcp_stream> stream;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_HTTP_CLIENT_H_
