#include "bench/processes/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry::processes {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr int kHttpVersion = 11;
constexpr std::size_t kMostBodyBytes = 64U << 20U;

http::request<http::string_body> MakeMessage(const HttpRequest& request,
                                             const Endpoint& server) {
  http::request<http::string_body> message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.path);
  message.set(http::field::host, FormatEndpoint(server));
  message.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

HttpClient::HttpClient(Endpoint address) : server(std::move(address)) {}

HttpResponse HttpClient::Exchange(const HttpRequest& request,
                                  std::chrono::milliseconds timeout) {
  this->DropIfClosed();
  if (!this->stream) this->stream.emplace(this->io);
  this->stream->expires_after(timeout);
  if (!this->stream->socket().is_open()) this->Connect();
  const auto message = MakeMessage(request, this->server);
  this->Await(true, [&](error_code& result) {
    http::async_write(*this->stream, message,
                      [&](error_code error, std::size_t) { result = error; });
  });
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostBodyBytes);
  this->Await(true, [&](error_code& result) {
    http::async_read(*this->stream, buffer, parser,
                     [&](error_code error, std::size_t) { result = error; });
  });
  const auto& answer = parser.get();
  if (!answer.keep_alive()) this->stream.reset();
  return HttpResponse{static_cast<int>(answer.result_int()),
                      std::string(answer[http::field::content_type]),
                      answer.body()};
}

HttpResponse HttpClient::Get(const std::string& path,
                             std::chrono::milliseconds timeout) {
  return this->Exchange(HttpRequest{"GET", path, "", {}, ""}, timeout);
}

HttpResponse HttpClient::Post(const std::string& path, const std::string& body,
                              std::chrono::milliseconds timeout) {
  return this->Exchange(HttpRequest{"POST", path, "", {}, body}, timeout);
}

void HttpClient::DropIfClosed() {
  if (!this->stream || !this->stream->socket().is_open()) return;
  tcp::socket& socket = this->stream->socket();
  char byte = 0;
  error_code error;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                 error);
  if (error != boost::asio::error::would_block) this->stream.reset();
}

void HttpClient::Connect() {
  const tcp::endpoint address(boost::asio::ip::make_address(this->server.host),
                              this->server.port);
  this->Await(false, [&](error_code& result) {
    this->stream->async_connect(address,
                                [&](error_code error) { result = error; });
  });
}

void HttpClient::Await(bool sent,
                       const std::function<void(error_code&)>& start) {
  error_code result;
  start(result);
  this->io.restart();
  this->io.run();
  if (!result) return;
  this->stream.reset();
  throw HttpFailure(FormatEndpoint(this->server) + ": " + result.message(),
                    sent);
}

}  // namespace lacewingferry::processes
