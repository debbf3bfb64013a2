#include "lacewingferry/adapters/tcp/peer_socket.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "lacewingferry/adapters/tcp/peer_frame.h"
#include "lacewingferry/core/endpoint_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using boost::asio::ip::tcp;

/** How long a stop waits until connected processes took the last messages. */
constexpr std::chrono::milliseconds kStopLimit{200};

/** Reads tcp://IP:PORT; none for another text. */
std::optional<tcp::endpoint> ParseUrl(const std::string& url) {
  static const std::string kScheme = "tcp://";
  if (url.compare(0, kScheme.size(), kScheme) != 0) return std::nullopt;
  const auto endpoint = ParseEndpoint(url.substr(kScheme.size()));
  if (!endpoint) return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint->host, error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, endpoint->port);
}

std::shared_ptr<PeerInbox> Listen(boost::asio::io_context& io,
                                  const std::string& url,
                                  PeerInboxHooks hooks) {
  const std::optional<tcp::endpoint> endpoint = ParseUrl(url);
  if (!endpoint) throw UserError("peer_url " + url + ": not tcp://IP:PORT");
  try {
    return std::make_shared<PeerInbox>(io, *endpoint, std::move(hooks));
  } catch (const boost::system::system_error& error) {
    throw UserError("peer_url " + url + ": " + error.what());
  }
}

}  // namespace

PeerSocket::PeerSocket(const std::string& url, PeerSocketHooks socket_hooks)
    : hooks(std::move(socket_hooks)),
      work(boost::asio::make_work_guard(this->io)),
      stop_limit(this->io) {
  PeerInboxHooks inbox_hooks;
  inbox_hooks.received = [this](std::string_view bytes) {
    this->hooks.received(DecodePeerMessage(bytes.data(), bytes.size()));
  };
  inbox_hooks.rejected = this->hooks.rejected;
  this->inbox = Listen(this->io, url, std::move(inbox_hooks));
  this->inbox->Start();
  this->thread = std::thread([this] { this->Run(); });
}

PeerSocket::~PeerSocket() {
  boost::asio::post(this->io, [this] { this->BeginStop(); });
  this->thread.join();
}

void PeerSocket::Run() {
  // An error of one connection ends no other, and no process.
  while (!this->io.stopped()) {
    try {
      this->io.run();
    } catch (const std::exception& error) {
      this->hooks.rejected(error.what());
    }
  }
}

void PeerSocket::BeginStop() {
  this->stopping = true;
  this->inbox->Close();
  this->stop_limit.expires_after(kStopLimit);
  this->stop_limit.async_wait(
      [this](boost::system::error_code) { this->io.stop(); });
  this->StopWhenIdle();
}

void PeerSocket::StopWhenIdle() {
  if (!this->stopping) return;
  const bool idle = std::all_of(
      this->outboxes.begin(), this->outboxes.end(), [](const auto& entry) {
        return entry.second == nullptr || entry.second->IsIdle();
      });
  if (idle) this->io.stop();
}

PeerPort PeerSocket::Port() {
  return PeerPort{[this](const std::string& url, const PeerMessage& message) {
                    this->Send(url, message);
                  },
                  [this](const std::string& url) { this->Redial(url); }};
}

PeerOutbox* PeerSocket::OutboxFor(const std::string& url) {
  const auto found = this->outboxes.find(url);
  if (found != this->outboxes.end()) return found->second.get();
  const std::optional<tcp::endpoint> endpoint = ParseUrl(url);
  std::shared_ptr<PeerOutbox> outbox;
  if (endpoint) {
    outbox = std::make_shared<PeerOutbox>(this->io, *endpoint,
                                          [this] { this->StopWhenIdle(); });
  } else {
    this->hooks.rejected("nothing can be sent to '" + url +
                         "', which is not tcp://IP:PORT");
  }
  return this->outboxes.emplace(url, std::move(outbox)).first->second.get();
}

void PeerSocket::Send(const std::string& url, const PeerMessage& message) {
  std::string frame = FramePeerMessage(EncodePeerMessage(message));
  this->sent_bytes += frame.size();
  boost::asio::post(this->io, [this, url, frame = std::move(frame)]() mutable {
    PeerOutbox* const outbox = this->OutboxFor(url);
    if (outbox != nullptr) outbox->Send(std::move(frame));
  });
}

void PeerSocket::Redial(const std::string& url) {
  boost::asio::post(this->io, [this, url] {
    const auto found = this->outboxes.find(url);
    if (found == this->outboxes.end()) return;
    if (found->second != nullptr) found->second->Close();
    this->outboxes.erase(found);
  });
}

}  // namespace lacewingferry
