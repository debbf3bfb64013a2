#include "lacewingferry/adapters/tcp/peer_outbox.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lacewingferry/adapters/tcp/tcp_options.h"

namespace lacewingferry {
namespace {

/** Messages that wait for a process; more are dropped. */
constexpr std::size_t kMaxQueuedMessages = 512;
/** Bytes that wait for a process, unless one message alone has more. */
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;
/** As many buffers as one call of the system takes from Asio. */
constexpr std::size_t kMaxWrittenTogether = 64;
constexpr std::chrono::milliseconds kConnectTimeout{2000};
constexpr std::chrono::milliseconds kMinBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{500};

}  // namespace

auto PeerOutbox::ThenCall(void (PeerOutbox::*next)()) {
  return [self = this->shared_from_this(), attempt = this->connection, next](
             boost::system::error_code error, auto&&...) {
    if (attempt != self->connection) return;
    if (error) {
      self->OnLost();
    } else {
      (self.get()->*next)();
    }
  };
}

PeerOutbox::PeerOutbox(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& peer_endpoint,
                       std::function<void()> idle_hook)
    : peer(peer_endpoint),
      on_idle(std::move(idle_hook)),
      socket(io),
      timer(io),
      backoff(kMinBackoff) {}

void PeerOutbox::Send(std::string frame) {
  if (this->state == State::kClosed) return;
  const bool full = this->queued.size() >= kMaxQueuedMessages ||
                    (!this->queued.empty() &&
                     this->queued_bytes + frame.size() > kMaxQueuedBytes);
  if (full) return;
  this->queued_bytes += frame.size();
  this->queued.push_back(std::move(frame));
  if (this->state == State::kDisconnected) this->Connect();
  if (this->state == State::kConnected) this->WriteQueued();
}

bool PeerOutbox::IsIdle() const {
  if (this->state != State::kConnected) return true;
  return this->queued.empty() && this->writing.empty();
}

void PeerOutbox::Close() {
  this->state = State::kClosed;
  ++this->connection;
  this->queued.clear();
  this->queued_bytes = 0;
  this->timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void PeerOutbox::Connect() {
  this->state = State::kConnecting;
  const std::uint64_t attempt = ++this->connection;
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait([self = this->shared_from_this(),
                          attempt](boost::system::error_code error) {
    if (error || attempt != self->connection) return;
    if (self->state == State::kConnecting) self->OnLost();
  });
  this->socket.async_connect(this->peer,
                             this->ThenCall(&PeerOutbox::OnConnected));
}

void PeerOutbox::OnConnected() {
  SetTcpOptions(this->socket);
  boost::asio::async_write(this->socket, boost::asio::buffer(kSenderGreeting),
                           this->ThenCall(&PeerOutbox::ReadGreeting));
}

void PeerOutbox::ReadGreeting() {
  boost::asio::async_read(this->socket,
                          boost::asio::buffer(this->received_greeting),
                          this->ThenCall(&PeerOutbox::OnGreeting));
}

void PeerOutbox::OnGreeting() {
  if (this->received_greeting != kReceiverGreeting) {
    this->OnLost();
    return;
  }
  this->state = State::kConnected;
  this->backoff = kMinBackoff;
  this->timer.cancel();
  this->WatchForEnd();
  this->WriteQueued();
}

void PeerOutbox::WatchForEnd() {
  // The other side sends nothing more, so whatever arrives ends the connection.
  const std::uint64_t attempt = this->connection;
  this->socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this(), attempt](boost::system::error_code) {
        if (attempt == self->connection) self->OnLost();
      });
}

void PeerOutbox::WriteQueued() {
  if (!this->writing.empty() || this->queued.empty()) return;
  const std::size_t count = std::min(this->queued.size(), kMaxWrittenTogether);
  std::vector<boost::asio::const_buffer> buffers;
  buffers.reserve(count);
  this->writing.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    this->queued_bytes -= this->queued.front().size();
    this->writing.push_back(std::move(this->queued.front()));
    this->queued.pop_front();
    buffers.push_back(boost::asio::buffer(this->writing.back()));
  }
  boost::asio::async_write(this->socket, buffers,
                           this->ThenCall(&PeerOutbox::OnWritten));
}

void PeerOutbox::OnWritten() {
  this->writing.clear();
  this->WriteQueued();
  if (this->writing.empty()) this->on_idle();
}

void PeerOutbox::OnLost() {
  ++this->connection;
  this->state = State::kDisconnected;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->writing.clear();
  this->on_idle();
  if (!this->queued.empty()) this->ReconnectLater();
}

void PeerOutbox::ReconnectLater() {
  this->state = State::kConnecting;
  const std::uint64_t attempt = this->connection;
  this->timer.expires_after(this->backoff);
  this->backoff = std::min(this->backoff * 2, kMaxBackoff);
  this->timer.async_wait([self = this->shared_from_this(),
                          attempt](boost::system::error_code error) {
    if (!error && attempt == self->connection) self->Connect();
  });
}

}  // namespace lacewingferry
