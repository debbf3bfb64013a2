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

#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** What a PgConnection reports. */
struct PgConnectionHooks {
  std::function<void()> opened;
  std::function<void(ConnectionFailure)> lost;
  std::function<void(const BatchResult&)> completed;
};

/** Keeps itself alive while an operation is under way. After Close or a
 * reported loss it reports nothing more. */
class PgConnection : public std::enable_shared_from_this<PgConnection> {
 public:
  PgConnection(boost::asio::io_context& io, PgConnectionHooks hooks);
  ~PgConnection();
  PgConnection(const PgConnection&) = delete;
  PgConnection& operator=(const PgConnection&) = delete;

  /** Starts to connect. */
  void Open(const MemberInfo& info, const std::string& user);

  /** Sends a batch in one flight. */
  void Execute(const SqlBatch& batch);

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
  void ReportLost(ConnectionFailure failure);
  ConnectionFailure ConnectFailure() const;

  boost::asio::io_context& io;
  boost::asio::posix::stream_descriptor descriptor;
  boost::asio::steady_timer connect_timer;
  PgConnectionHooks hooks;
  PGconn* connection = nullptr;
  BatchResult result;
  bool executing = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LIBPQ_PG_CONNECTION_H_
