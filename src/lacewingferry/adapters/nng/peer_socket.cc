#include "lacewingferry/adapters/nng/peer_socket.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <utility>

#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

/** Larger messages are dropped by the receiver. */
constexpr std::size_t kMostMessageBytes = 16U << 20U;
/** Messages that wait for a peer; more are dropped. */
constexpr int kMostQueued = 512;
constexpr std::chrono::milliseconds kReconnectMin{50};
constexpr std::chrono::milliseconds kReconnectMax{500};

void Require(int status, const std::string& what) {
  if (status == 0) return;
  throw UserError(what + ": " + nng_strerror(status));
}

nng_duration ToNng(std::chrono::milliseconds duration) {
  return static_cast<nng_duration>(duration.count());
}

}  // namespace

PeerSocket::PeerSocket(const std::string& url, PeerSocketHooks socket_hooks)
    : hooks(std::move(socket_hooks)) {
  Require(nng_pull0_open(&this->inbox), "peer socket");
  nng_socket_set_size(this->inbox, NNG_OPT_RECVMAXSZ, kMostMessageBytes);
  const int listening = nng_listen(this->inbox, url.c_str(), nullptr, 0);
  if (listening != 0) {
    nng_close(this->inbox);
    Require(listening, "peer_url " + url);
  }
  Require(nng_aio_alloc(&this->receiving, &PeerSocket::OnReceived, this),
          "peer socket");
  nng_recv_aio(this->inbox, this->receiving);
}

PeerSocket::~PeerSocket() {
  nng_close(this->inbox);
  nng_aio_stop(this->receiving);
  nng_aio_free(this->receiving);
  for (const auto& entry : this->outboxes) nng_close(entry.second);
}

void PeerSocket::OnReceived(void* self) {
  static_cast<PeerSocket*>(self)->TakeReceived();
}

void PeerSocket::TakeReceived() {
  if (nng_aio_result(this->receiving) != 0) return;
  nng_msg* message = nng_aio_get_msg(this->receiving);
  try {
    this->hooks.received(DecodePeerMessage(
        static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)));
  } catch (const DecodeError& error) {
    this->hooks.rejected(error.what());
  }
  nng_msg_free(message);
  nng_recv_aio(this->inbox, this->receiving);
}

PeerPort PeerSocket::Port() {
  return PeerPort{[this](const std::string& url, const PeerMessage& message) {
                    this->Send(url, message);
                  },
                  [this](const std::string& url) { this->Redial(url); }};
}

std::uint64_t PeerSocket::SentBytes() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->sent_bytes;
}

nng_socket PeerSocket::SocketFor(const std::string& url) {
  const auto found = this->outboxes.find(url);
  if (found != this->outboxes.end()) return found->second;
  nng_socket socket{};
  Require(nng_push0_open(&socket), "peer socket");
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kMostQueued);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, ToNng(kReconnectMin));
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, ToNng(kReconnectMax));
  nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
  this->outboxes.emplace(url, socket);
  return socket;
}

void PeerSocket::Redial(const std::string& url) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->outboxes.find(url);
  if (found == this->outboxes.end()) return;
  nng_close(found->second);
  this->outboxes.erase(found);
}

void PeerSocket::Send(const std::string& url, const PeerMessage& message) {
  std::string bytes = EncodePeerMessage(message);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->sent_bytes += bytes.size();
  nng_send(this->SocketFor(url), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
}

}  // namespace lacewingferry
