#ifndef LACEWINGFERRY_ADAPTERS_LIBPQ_PG_CONNECTION_H_
#define LACEWINGFERRY_ADAPTERS_LIBPQ_PG_CONNECTION_H_

// Defines PgConnection, one libpq connection driven by Asio.

#include <libpq-fe.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lacewingferry/core/settings.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** What a PgConnection reports. */
struct PgConnectionHooks {
  std::function<void()> opened;
  std::function<void(ConnectionFailure)> lost;
  std::function<void(const MemberBatchResult&)> completed;
  /** Tells why an answer could not be read; the connection is lost next. */
  std::function<void(const std::string& reason)> unreadable;
};

/** Keeps itself alive while an operation is under way. After Close or a
 * reported loss it reports nothing more. */
class PgConnection : public std::enable_shared_from_this<PgConnection> {
 public:
  PgConnection(boost::asio::io_context& io, MemberDialect dialect,
               PgConnectionHooks hooks);
  ~PgConnection();
  PgConnection(const PgConnection&) = delete;
  PgConnection& operator=(const PgConnection&) = delete;

  /** Starts to connect. */
  void Open(const MemberInfo& info);

  /** Sends a batch in one flight. */
  void Execute(const MemberBatch& batch);

  /** Closes at once. */
  void Close();

 private:
  void PollConnect();
  void WaitConnect(boost::asio::posix::stream_descriptor::wait_type wait);
  void FinishConnect();
  void Flush();
  void WaitReadable();
  void OnReadable();
  bool TakeResults();
  void TakeResult(const PGresult* result);
  void TakeRows(const PGresult* result);
  void TakeError(const PGresult* result);
  MemberStatementKind KindOfNext() const;
  void ReportLost(ConnectionFailure failure);
  ConnectionFailure ConnectFailure() const;

  boost::asio::io_context& io;
  boost::asio::posix::stream_descriptor descriptor;
  boost::asio::steady_timer connect_timer;
  MemberDialect dialect;
  PgConnectionHooks hooks;
  PGconn* connection = nullptr;
  /** What the batch that runs consists of, and what came of it so far. */
  std::vector<MemberStatementKind> kinds;
  MemberBatchResult result;
  /** Why a result could not be read; empty if all could. */
  std::string unreadable;
  bool executing = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_PG_CONNECTION_H_
