#include "standin/listener.h"

#include <chrono>
#include <utility>

namespace lacewingferry::standin {
namespace {

using boost::asio::ip::tcp;

/** The pause after a connection could not be accepted. */
constexpr std::chrono::milliseconds kErrorPause{100};

}  // namespace

Listener::Listener(boost::asio::io_context& context, const Endpoint& endpoint)
    : acceptor(context,
               tcp::endpoint(boost::asio::ip::make_address(endpoint.host),
                             endpoint.port)),
      pause(context),
      port(this->acceptor.local_endpoint().port()) {}

void Listener::Start(AcceptHook accept_hook) {
  this->accepted = std::move(accept_hook);
  this->Accept();
}

void Listener::Stop() {
  this->accepted = nullptr;
  this->pause.cancel();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void Listener::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        tcp::socket socket) {
        if (!self->accepted) return;
        if (error) {
          self->AcceptLater();
          return;
        }
        self->accepted(std::move(socket));
        self->Accept();
      });
}

void Listener::AcceptLater() {
  this->pause.expires_after(kErrorPause);
  this->pause.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        if (!e && self->accepted) self->Accept();
      });
}

}  // namespace lacewingferry::standin
