#include "standin/platform/held_link.h"

#include <fcntl.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace lacewingferry::standin {

using boost::asio::ip::tcp;

/** A connection of a caller and the one to the target. Keeps itself alive while
 * either is open. */
class HeldLink::Connection
    : public std::enable_shared_from_this<HeldLink::Connection> {
 public:
  Connection(HeldLink& owner, tcp::socket from_caller)
      : link(owner), caller(std::move(from_caller)), target(owner.io) {}

  void Start() {
    this->target.async_connect(
        this->link.destination,
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (error) return;
          self->ReadCaller();
          self->ReadTarget();
        });
  }

  bool HoldsBytes() const { return this->holds && !this->bytes.empty(); }
  const std::string& Bytes() const { return this->bytes; }

  void Deliver() {
    this->holds = false;
    this->Forward();
  }

 private:
  void ReadCaller() {
    this->caller.async_read_some(
        boost::asio::buffer(this->input),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          if (error) {
            self->OnCallerGone(error);
            return;
          }
          self->OnBytes(size);
          self->ReadCaller();
        });
  }

  void OnBytes(std::size_t size) {
    this->bytes.append(this->input.data(), size);
    if (this->link.armed) {
      this->link.armed = false;
      this->holds = true;
      this->link.held = this->shared_from_this();
    }
    if (!this->holds) this->Forward();
  }

  /** A reset loses what is on its way; after an orderly end it arrives. */
  void OnCallerGone(boost::system::error_code error) {
    if (error == boost::asio::error::eof) return;
    this->bytes.clear();
    boost::system::error_code ignored;
    this->target.close(ignored);
  }

  void Forward() {
    const auto sent = std::make_shared<std::string>(std::move(this->bytes));
    this->bytes.clear();
    boost::asio::async_write(this->target, boost::asio::buffer(*sent),
                             [self = this->shared_from_this(), sent](
                                 boost::system::error_code, std::size_t) {});
  }

  void ReadTarget() {
    this->target.async_read_some(
        boost::asio::buffer(this->answer),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          boost::system::error_code ignored;
          if (error) {
            self->caller.close(ignored);
            return;
          }
          boost::asio::write(self->caller,
                             boost::asio::buffer(self->answer, size), ignored);
          self->ReadTarget();
        });
  }

  HeldLink& link;
  tcp::socket caller;
  tcp::socket target;
  bool holds = false;
  std::string bytes;
  std::array<char, 4096> input{};
  std::array<char, 4096> answer{};
};

HeldLink::HeldLink(boost::asio::io_context& link_io, const Endpoint& listen,
                   const Endpoint& target)
    : io(link_io),
      acceptor(link_io,
               tcp::endpoint(boost::asio::ip::make_address(listen.host),
                             listen.port)),
      destination(boost::asio::ip::make_address(target.host), target.port) {
  // Programs that are started later must not keep the port.
  ::fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  this->Accept();
}

void HeldLink::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error) return;
        std::make_shared<Connection>(*this, std::move(socket))->Start();
        this->Accept();
      });
}

std::optional<std::string> HeldLink::Held() const {
  if (!this->held || !this->held->HoldsBytes()) return std::nullopt;
  return this->held->Bytes();
}

void HeldLink::Deliver() {
  if (this->held) this->held->Deliver();
  this->held.reset();
}

}  // namespace lacewingferry::standin
