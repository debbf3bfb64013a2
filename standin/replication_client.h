#ifndef STANDIN_REPLICATION_CLIENT_H_
#define STANDIN_REPLICATION_CLIENT_H_

// Defines ReplicationClient, a replica's connection to its primary.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "standin/replication_channel.h"

namespace lacewingferry::standin {

/** What the client asks of and tells its member. */
struct ReplicationClientHooks {
  std::function<HelloMessage()> hello;
  /** Takes the primary's answer. Returns whether to follow it. */
  std::function<bool(const StartMessage&)> start;
  /** Makes entries durable. Returns whether they follow on the log's end. */
  std::function<bool(const std::vector<LogEntry>&)> receive;
  std::function<AckMessage()> acknowledge;
};

/** Follows a primary and connects again, after a pause, when the connection is
 * lost or refused. */
class ReplicationClient
    : public std::enable_shared_from_this<ReplicationClient> {
 public:
  ReplicationClient(boost::asio::io_context& context,
                    ReplicationClientHooks client_hooks);

  /** Connects to a primary in place of any other. */
  void Follow(const Endpoint& primary_log);

  /** Closes the connection and stays away. */
  void Stop();

  /** Tells the primary what is durable and applied by now. */
  void SendAcknowledgement();

 private:
  void Connect();
  void Connected(boost::asio::ip::tcp::socket socket);
  void ConnectLater();
  void Take(const ReplicationMessage& message);

  boost::asio::io_context& io;
  ReplicationClientHooks hooks;
  boost::asio::steady_timer pause;
  Endpoint primary;
  /** Counts the calls of Follow and Stop, so that late answers are known. */
  std::uint64_t attempt = 0;
  bool started = false;
  std::shared_ptr<ReplicationChannel> channel;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICATION_CLIENT_H_
