#ifndef LACEWINGFERRY_ADAPTERS_TCP_PEER_OUTBOX_H_
#define LACEWINGFERRY_ADAPTERS_TCP_PEER_OUTBOX_H_

// Defines PeerOutbox, the messages on their way to one other process.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lacewingferry/adapters/tcp/peer_frame.h"

namespace lacewingferry {

/**
 * Queues messages for one process, connects while there are any, and writes
 * them in order. A message that was being written when the connection broke is
 * lost. Nothing here waits for the other side: a process that takes no bytes
 * fills the queue, and further messages are dropped. Belongs to the thread of
 * its io_context.
 */
class PeerOutbox : public std::enable_shared_from_this<PeerOutbox> {
 public:
  /** on_idle runs whenever nothing is left to write. */
  PeerOutbox(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& peer,
             std::function<void()> on_idle);

  /** Queues a framed message. */
  void Send(std::string frame);

  /** Ends the connection and drops all messages, for good. */
  void Close();

  /** Whether no connected process is about to get a message. */
  bool IsIdle() const;

 private:
  enum class State { kDisconnected, kConnecting, kConnected, kClosed };

  void Connect();
  void OnConnected();
  void ReadGreeting();
  void OnGreeting();
  void WatchForEnd();
  void WriteQueued();
  void OnWritten();
  void OnLost();
  void ReconnectLater();
  /** A handler for an operation of the present connection: an error ends the
   * connection, and success calls the next method. */
  auto ThenCall(void (PeerOutbox::*next)());

  boost::asio::ip::tcp::endpoint peer;
  std::function<void()> on_idle;
  boost::asio::ip::tcp::socket socket;
  /** Bounds an attempt to connect, or waits for the next one. */
  boost::asio::steady_timer timer;
  State state = State::kDisconnected;
  std::chrono::milliseconds backoff;
  /** Handlers of earlier connections carry earlier numbers and do nothing. */
  std::uint64_t connection = 0;
  PeerGreeting received_greeting{};
  std::deque<std::string> queued;
  std::size_t queued_bytes = 0;
  std::vector<std::string> writing;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_PEER_OUTBOX_H_
