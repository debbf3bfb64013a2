#include "standin/replication_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <utility>

namespace lacewingferry::standin {
namespace {

using boost::asio::ip::tcp;

/** The pause before a lost connection is opened again. */
constexpr std::chrono::milliseconds kReconnectPause{100};

}  // namespace

ReplicationClient::ReplicationClient(boost::asio::io_context& context,
                                     ReplicationClientHooks client_hooks)
    : io(context), hooks(std::move(client_hooks)), pause(context) {}

void ReplicationClient::Follow(const Endpoint& primary_log) {
  this->Stop();
  this->primary = primary_log;
  this->Connect();
}

void ReplicationClient::Stop() {
  ++this->attempt;
  this->started = false;
  this->pause.cancel();
  if (this->channel) this->channel->Close();
  this->channel.reset();
}

void ReplicationClient::Connect() {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(this->primary.host, error);
  if (error) return;
  auto socket = std::make_shared<tcp::socket>(this->io);
  const std::uint64_t current = ++this->attempt;
  socket->async_connect(tcp::endpoint(address, this->primary.port),
                        [weak = this->weak_from_this(), socket,
                         current](const boost::system::error_code& failure) {
                          const auto self = weak.lock();
                          if (!self || self->attempt != current) return;
                          if (failure) {
                            self->ConnectLater();
                          } else {
                            self->Connected(std::move(*socket));
                          }
                        });
}

void ReplicationClient::Connected(tcp::socket socket) {
  this->channel = std::make_shared<ReplicationChannel>(std::move(socket));
  const std::weak_ptr<ReplicationClient> weak = this->weak_from_this();
  this->channel->Start({[weak](const ReplicationMessage& message) {
                          if (const auto self = weak.lock()) {
                            self->Take(message);
                          }
                        },
                        nullptr,
                        [weak] {
                          if (const auto self = weak.lock()) {
                            self->ConnectLater();
                          }
                        }});
  this->channel->Send(this->hooks.hello());
}

void ReplicationClient::ConnectLater() {
  this->Stop();
  this->pause.expires_after(kReconnectPause);
  this->pause.async_wait(
      [weak = this->weak_from_this(),
       current = this->attempt](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->attempt == current) self->Connect();
      });
}

void ReplicationClient::Take(const ReplicationMessage& message) {
  bool accepted = false;
  if (const auto* start = std::get_if<StartMessage>(&message)) {
    accepted = !this->started && this->hooks.start(*start);
    this->started = accepted;
  } else if (const auto* batch = std::get_if<EntriesMessage>(&message)) {
    accepted = this->started && this->hooks.receive(batch->entries);
  }
  if (accepted) {
    this->SendAcknowledgement();
  } else {
    this->ConnectLater();
  }
}

void ReplicationClient::SendAcknowledgement() {
  if (this->started && this->channel) {
    this->channel->Send(this->hooks.acknowledge());
  }
}

}  // namespace lacewingferry::standin
