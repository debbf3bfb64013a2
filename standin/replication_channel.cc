#include "standin/replication_channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry::standin {
namespace {

using Length = std::uint32_t;

/** The largest message that is accepted, in bytes. */
constexpr Length kMaxMessageBytes = 64U * 1024 * 1024;

}  // namespace

ReplicationChannel::ReplicationChannel(boost::asio::ip::tcp::socket connected)
    : socket(std::move(connected)) {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void ReplicationChannel::Start(ReplicationChannelHooks channel_hooks) {
  this->hooks = std::move(channel_hooks);
  this->Read();
}

void ReplicationChannel::Send(const ReplicationMessage& message) {
  if (this->closed) return;
  const std::string body = detail::EncodeFields(message);
  const auto length = static_cast<Length>(body.size());
  std::string header(sizeof(length), '\0');
  std::memcpy(header.data(), &length, sizeof(length));
  this->queued += header + body;
  if (!this->writing) this->Write();
}

void ReplicationChannel::Close() {
  if (std::exchange(this->closed, true)) return;
  this->hooks = {};
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void ReplicationChannel::Read() {
  this->socket.async_read_some(
      boost::asio::buffer(this->chunk),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t count) {
        if (self->closed) return;
        if (error) {
          self->Lose();
          return;
        }
        self->received.append(self->chunk.data(), count);
        self->TakeMessages();
      });
}

void ReplicationChannel::TakeMessages() {
  std::size_t taken = 0;
  try {
    while (!this->closed && this->received.size() - taken >= sizeof(Length)) {
      Length length = 0;
      std::memcpy(&length, this->received.data() + taken, sizeof(length));
      if (length > kMaxMessageBytes) throw DecodeError("message too long");
      if (this->received.size() - taken < sizeof(length) + length) break;
      const auto message = detail::DecodeFields<ReplicationMessage>(
          this->received.data() + taken + sizeof(length), length);
      taken += sizeof(length) + length;
      const auto hook = this->hooks.received;
      hook(message);
    }
  } catch (const DecodeError&) {
    this->Lose();
  }
  if (this->closed) return;
  this->received.erase(0, taken);
  this->Read();
}

void ReplicationChannel::Write() {
  this->writing = true;
  this->sending = std::exchange(this->queued, {});
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->sending),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*count*/) {
        self->writing = false;
        if (self->closed) return;
        if (error) {
          self->Lose();
        } else if (!self->queued.empty()) {
          self->Write();
        } else if (const auto hook = self->hooks.drained) {
          hook();
        }
      });
}

void ReplicationChannel::Lose() {
  if (this->closed) return;
  const auto hook = this->hooks.lost;
  this->Close();
  if (hook) hook();
}

}  // namespace lacewingferry::standin
