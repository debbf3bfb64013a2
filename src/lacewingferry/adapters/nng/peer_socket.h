#ifndef LACEWINGFERRY_ADAPTERS_NNG_PEER_SOCKET_H_
#define LACEWINGFERRY_ADAPTERS_NNG_PEER_SOCKET_H_

// Defines the peer port over nng: each process pulls at its own address and
// pushes to those of others.

#include <nng/nng.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/ports/peer_port.h"

namespace lacewingferry {

/** What a PeerSocket reports, on a thread of nng: a receiver posts it to its
 * own thread and returns. */
struct PeerSocketHooks {
  std::function<void(PeerMessage)> received;
  /** Bytes that were no message, with the reason. */
  std::function<void(const std::string& reason)> rejected;
};

/** Sends and receives messages of other processes. */
class PeerSocket {
 public:
  /** Listens at url, for example tcp://127.0.0.1:7001. Throws UserError if it
   * can't be listened at. */
  PeerSocket(const std::string& url, PeerSocketHooks hooks);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** The port; valid as long as this object, from any thread. */
  PeerPort Port();

  /** The bytes that were sent so far. */
  std::uint64_t SentBytes() const;

 private:
  static void OnReceived(void* self);
  void TakeReceived();
  void Send(const std::string& url, const PeerMessage& message);
  void Redial(const std::string& url);
  nng_socket SocketFor(const std::string& url);

  PeerSocketHooks hooks;
  nng_socket inbox{};
  nng_aio* receiving = nullptr;
  mutable std::mutex mutex;
  std::map<std::string, nng_socket> outboxes;
  std::uint64_t sent_bytes = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_NNG_PEER_SOCKET_H_
