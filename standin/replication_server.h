#ifndef STANDIN_REPLICATION_SERVER_H_
#define STANDIN_REPLICATION_SERVER_H_

// Defines ReplicationServer, which accepts the replicas' connections.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "standin/listener.h"
#include "standin/replica_stream.h"

namespace lacewingferry::standin {

/** Accepts replicas and streams the log to them. */
class ReplicationServer {
 public:
  /** Listens; port 0 takes a free one. Throws boost::system::system_error. */
  ReplicationServer(boost::asio::io_context& context, const Endpoint& endpoint,
                    ReplicaStreamHooks stream_hooks);

  /** The port that replicas connect to. */
  std::uint16_t Port() const { return this->listener->Port(); }

  /** Sends newly appended entries to every replica. */
  void Notify();

  /** Closes the connections of all replicas, which may connect again. */
  void DropReplicas();

  /** Stops listening and closes all connections. */
  void Stop();

  /** The newest open stream of each replica that acknowledged in a term. */
  std::vector<std::shared_ptr<ReplicaStream>> Replicas(
      std::uint64_t term) const;

 private:
  void Add(boost::asio::ip::tcp::socket socket);

  std::shared_ptr<Listener> listener;
  ReplicaStreamHooks hooks;
  std::vector<std::shared_ptr<ReplicaStream>> streams;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICATION_SERVER_H_
