#ifndef STANDIN_POSTGRES_SERVER_H_
#define STANDIN_POSTGRES_SERVER_H_

// Defines PostgresServer, which accepts clients and limits their number.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "standin/listener.h"
#include "standin/postgres_session.h"

namespace lacewingferry::standin {

/** What a server is started with. */
struct PostgresServerSettings {
  Endpoint endpoint;
  /** The most sessions at a time. */
  std::uint32_t slots = 5;
  PostgresDelays delays;
};

/** What a server asks of its member. */
struct PostgresServerHooks {
  /** Makes a session. Throws SqlError. */
  std::function<std::shared_ptr<SqlSession>(std::uint32_t number)> open;
  /** Told when the last session has ended. */
  std::function<void()> idle;
};

/** Accepts connections by PostgreSQL's protocol. */
class PostgresServer {
 public:
  /** Listens; port 0 takes a free one. Throws boost::system::system_error. */
  PostgresServer(boost::asio::io_context& context,
                 const PostgresServerSettings& server_settings,
                 PostgresServerHooks server_hooks);

  /** The port that clients connect to. */
  std::uint16_t Port() const { return this->listener->Port(); }

  /** The open sessions that hold a slot. */
  std::uint32_t SessionCount() const { return this->slots_used; }

  /** Ends the write transactions of all sessions. */
  void DemoteSessions();

  /** Closes all sessions with an error. */
  void DropSessions(const SqlError& reason);

  /** Stops listening and closes all connections at once. */
  void Stop();

 private:
  struct Connection {
    std::shared_ptr<PostgresSession> session;
    bool has_slot = false;
  };

  std::vector<std::shared_ptr<PostgresSession>> Sessions() const;
  void Add(boost::asio::ip::tcp::socket socket);
  std::shared_ptr<SqlSession> Open(std::uint32_t number);
  void Closed(std::uint32_t number);

  PostgresServerSettings settings;
  PostgresServerHooks hooks;
  std::shared_ptr<Listener> listener;
  std::unordered_map<std::uint32_t, Connection> connections;
  std::uint32_t last_number = 0;
  std::uint32_t slots_used = 0;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_POSTGRES_SERVER_H_
