#ifndef LACEWINGFERRY_ADAPTERS_TCP_PEER_SOCKET_H_
#define LACEWINGFERRY_ADAPTERS_TCP_PEER_SOCKET_H_

// Defines the peer port over TCP: each process takes messages at its own
// address and sends to those of others.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "lacewingferry/adapters/tcp/peer_inbox.h"
#include "lacewingferry/adapters/tcp/peer_outbox.h"
#include "lacewingferry/core/messages/peer_message.h"
#include "lacewingferry/ports/peer_port.h"

namespace lacewingferry {

/** What a PeerSocket reports, on its own thread: a receiver posts it to its
 * thread and returns. */
struct PeerSocketHooks {
  std::function<void(PeerMessage)> received;
  /** Bytes that were no message, with the reason. */
  std::function<void(const std::string& reason)> rejected;
};

/** Sends and receives messages of other processes on a thread of its own,
 * which waits for no other process. */
class PeerSocket {
 public:
  /** Listens at url, for example tcp://127.0.0.1:7001. Throws UserError if it
   * can't be listened at. */
  PeerSocket(const std::string& url, PeerSocketHooks hooks);

  /** Gives messages to connected processes a moment to leave. */
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** The port; valid as long as this object, from any thread. */
  PeerPort Port();

  /** The bytes that were sent so far. */
  std::uint64_t SentBytes() const { return this->sent_bytes; }

 private:
  void Run();
  void Send(const std::string& url, const PeerMessage& message);
  void Redial(const std::string& url);
  PeerOutbox* OutboxFor(const std::string& url);
  void BeginStop();
  void StopWhenIdle();

  PeerSocketHooks hooks;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::steady_timer stop_limit;
  std::shared_ptr<PeerInbox> inbox;
  /** By url; null for one that names no address. */
  std::map<std::string, std::shared_ptr<PeerOutbox>> outboxes;
  bool stopping = false;
  std::atomic<std::uint64_t> sent_bytes{0};
  std::thread thread;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_PEER_SOCKET_H_
