#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_CONNECTION_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_CONNECTION_H_

// Defines HttpConnection, one caller's connection.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "lacewingferry/adapters/http/http_limits.h"
#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/adapters/http/http_server_state.h"

namespace lacewingferry {

/** Reads requests one after the other and writes their responses. Keeps itself
 * alive while the caller is connected or a request is under way. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(boost::asio::ip::tcp::socket socket, HttpHandler handler,
                 const HttpLimits& http_limits,
                 std::shared_ptr<HttpServerState> state);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Starts to read. */
  void Start();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void WaitForRequest();
  void ReadRequest();
  void OnRequest(boost::system::error_code error);
  void Reject(boost::system::error_code error);
  void Respond(HttpResponse response, bool keep_alive);
  void Write(bool keep_alive);
  void DiscardInput();

  boost::beast::tcp_stream stream;
  boost::asio::steady_timer idle_timer;
  HttpHandler handler;
  HttpLimits limits;
  std::shared_ptr<HttpServerState> state;
  /** From a request's first byte until its answer is written. */
  std::optional<CountedExchange> exchange;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Response response;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_CONNECTION_H_
