#ifndef STANDIN_POSTGRES_SESSION_H_
#define STANDIN_POSTGRES_SESSION_H_

// Defines PostgresSession, one client's connection by PostgreSQL's protocol
// version 3.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "standin/delayed_writer.h"
#include "standin/postgres_answer.h"
#include "standin/postgres_frame.h"
#include "standin/postgres_request.h"
#include "standin/sql_session.h"

namespace lacewingferry::standin {

/** Delays that stand for a real server's network and work. */
struct PostgresDelays {
  /** Before a new connection is accepted. */
  std::chrono::milliseconds connect{0};
  /** Between an answer and its sending. */
  std::chrono::milliseconds latency{0};
  /** Before each batch of statements runs. */
  std::chrono::milliseconds statement{0};
};

/** What a connection asks of its server. */
struct PostgresSessionHooks {
  /** Gives a session to a client, or throws SqlError to refuse it. */
  std::function<std::shared_ptr<SqlSession>(std::uint32_t number)> open;
  /** Told once, when the connection has ended. */
  std::function<void(std::uint32_t number)> closed;
};

/** Reads requests in order and runs each to its end before the next. Kept
 * alive by its pending operations. */
class PostgresSession : public std::enable_shared_from_this<PostgresSession> {
 public:
  PostgresSession(boost::asio::ip::tcp::socket connected,
                  std::uint32_t session_number, PostgresDelays session_delays,
                  PostgresSessionHooks session_hooks);

  void Start();

  /** Ends a write transaction because the member is no longer primary. */
  void Demote();

  /** Reports a fatal error and closes the connection once it is sent. */
  void Shut(const SqlError& reason);

  /** Closes the connection at once; an open transaction rolls back. */
  void Close();

 private:
  struct Portal {
    PreparedStatementPtr statement;
    std::vector<SqlValue> parameters;
  };

  /** What is left of a simple query, and whether it held a statement. */
  struct SimpleQuery {
    std::string rest;
    bool any = false;
  };

  void Read();
  void Process();
  bool Step();
  void TakeStartup(const PostgresFrame& frame);
  void Welcome();
  void Take(const PostgresFrame& frame);
  bool DelayBatch(const PostgresFrame& frame);
  void WaitThen(std::chrono::milliseconds delay, std::function<void()> next);
  void Run(const PreparedStatementPtr& statement,
           std::vector<SqlValue> parameters, SqlSession::Done answer);

  void Handle(const QueryRequest& request);
  void Handle(const ParseRequest& request);
  void Handle(const BindRequest& request);
  void Handle(const DescribeRequest& request);
  void Handle(const ExecuteRequest& request);
  void Handle(const CloseRequest& request);
  void Handle(const SyncRequest& request);
  void Handle(const FlushRequest& request);
  void Handle(const TerminateRequest& request);

  void StepQuery();
  void AnswerQuery(const StatementResult& result);
  void EndQuery();
  void AnswerRows(const StatementResult& result);
  void FailBatch(const SqlError& error);
  void FinishBatch();
  PreparedStatementPtr FindStatement(const std::string& name) const;
  Portal& FindPortal(const std::string& name);

  std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  std::uint32_t number;
  PostgresDelays delays;
  PostgresSessionHooks hooks;
  std::shared_ptr<DelayedWriter> writer;
  boost::asio::steady_timer timer;
  PostgresFrameReader reader;
  PostgresAnswer answer;
  std::shared_ptr<SqlSession> sql;
  std::unordered_map<std::string, PreparedStatementPtr> statements;
  std::unordered_map<std::string, Portal> portals;
  std::array<char, 65536> chunk{};
  /** The simple query that is running; none outside one. */
  std::optional<SimpleQuery> query;
  bool started = false;
  bool reading = false;
  bool processing = false;
  /** Whether a request is running or delayed. */
  bool waiting = false;
  bool batch_delayed = false;
  /** Whether requests are skipped up to the next Sync. */
  bool skipping = false;
  bool shutting = false;
  bool closed = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_POSTGRES_SESSION_H_
