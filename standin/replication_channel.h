#ifndef STANDIN_REPLICATION_CHANNEL_H_
#define STANDIN_REPLICATION_CHANNEL_H_

// Defines ReplicationChannel, a connection that carries replication messages.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "standin/replication_message.h"

namespace lacewingferry::standin {

/** What a channel reports, on the thread of its socket. */
struct ReplicationChannelHooks {
  std::function<void(const ReplicationMessage&)> received;
  /** All messages that were given to Send are with the kernel. */
  std::function<void()> drained;
  /** The connection was lost or carried a malformed message. Told once, and
   * not after Close. */
  std::function<void()> lost;
};

/** Sends and receives whole messages; kept alive by its pending operations. */
class ReplicationChannel
    : public std::enable_shared_from_this<ReplicationChannel> {
 public:
  explicit ReplicationChannel(boost::asio::ip::tcp::socket connected);

  /** Starts to read. */
  void Start(ReplicationChannelHooks channel_hooks);

  /** Sends a message; does nothing on a closed channel. */
  void Send(const ReplicationMessage& message);

  /** Whether messages still wait to be sent. */
  bool Busy() const { return this->writing; }

  /** Closes the connection; no hook is called afterwards. */
  void Close();

 private:
  void Read();
  void TakeMessages();
  void Write();
  void Lose();

  boost::asio::ip::tcp::socket socket;
  ReplicationChannelHooks hooks;
  std::array<char, 65536> chunk{};
  std::string received;
  std::string queued;
  std::string sending;
  bool writing = false;
  bool closed = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICATION_CHANNEL_H_
