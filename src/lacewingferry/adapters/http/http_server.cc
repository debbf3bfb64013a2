#include "lacewingferry/adapters/http/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "lacewingferry/adapters/http/http_connection.h"
#include "lacewingferry/adapters/http/http_server_state.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using boost::asio::ip::tcp;

tcp::endpoint ResolveListen(const Endpoint& listen) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(listen.host, error);
  if (error) throw UserError("listen " + listen.host + ": not an IP address");
  return {address, listen.port};
}

}  // namespace

HttpServer::HttpServer(std::vector<Thread> server_threads,
                       const Endpoint& listen, HttpLimits http_limits)
    : threads(std::move(server_threads)),
      acceptor(*this->threads.front().io),
      limits(http_limits),
      state(std::make_shared<HttpServerState>()) {
  const tcp::endpoint endpoint = ResolveListen(listen);
  try {
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw UserError("listen " + listen.host + ":" +
                    std::to_string(listen.port) + ": " + error.what());
  }
}

std::uint16_t HttpServer::Port() const {
  return this->acceptor.local_endpoint().port();
}

std::size_t HttpServer::Exchanges() const { return this->state->exchanges; }

void HttpServer::Start() { this->Accept(); }

void HttpServer::Stop() {
  this->state->stopping = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void HttpServer::Accept() {
  const std::size_t thread = this->next_thread++ % this->threads.size();
  this->acceptor.async_accept(
      *this->threads[thread].io,
      [self = this->shared_from_this(), thread](boost::system::error_code error,
                                                tcp::socket socket) {
        if (!self->acceptor.is_open()) return;
        if (!error) self->OnAccepted(std::move(socket), thread);
        self->Accept();
      });
}

void HttpServer::OnAccepted(tcp::socket socket, std::size_t thread) {
  if (this->state->connections >= this->limits.max_connections) return;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<HttpConnection>(
      std::move(socket), this->threads[thread].handler, this->limits,
      this->state);
  boost::asio::post(*this->threads[thread].io,
                    [connection] { connection->Start(); });
}

}  // namespace lacewingferry
