#include "lacewingferry/adapters/libpq/pg_connection.h"

#include <boost/asio/post.hpp>
#include <charconv>
#include <chrono>
#include <cstring>
#include <utility>
#include <vector>

#include "lacewingferry/adapters/libpq/member_sql.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using boost::asio::posix::stream_descriptor;

/** A member that doesn't complete a connection in this time is unreachable. */
constexpr std::chrono::seconds kConnectTimeout{2};
/** PostgreSQL's code of an internal error, for one that came without a code. */
constexpr char kUnknownFailure[] = "XX000";

std::uint64_t AffectedRows(const PGresult* result) {
  // libpq declares the argument of PQcmdTuples without const.
  const char* text = PQcmdTuples(const_cast<PGresult*>(result));
  std::uint64_t rows = 0;
  std::from_chars(text, text + std::strlen(text), rows);
  return rows;
}

ResultSet ReadRows(const PGresult* result) {
  ResultSet rows;
  const int columns = PQnfields(result);
  for (int c = 0; c < columns; ++c) {
    rows.columns.emplace_back(PQfname(result, c));
  }
  for (int r = 0; r < PQntuples(result); ++r) {
    auto& row = rows.rows.emplace_back();
    for (int c = 0; c < columns; ++c) {
      if (PQgetisnull(result, r, c) != 0) {
        row.emplace_back();
      } else {
        row.emplace_back(
            std::string(PQgetvalue(result, r, c),
                        static_cast<std::size_t>(PQgetlength(result, r, c))));
      }
    }
  }
  rows.affected_rows = AffectedRows(result);
  return rows;
}

bool SendStatement(PGconn* connection, const SqlStatement& statement) {
  std::vector<const char*> values;
  for (const SqlValue& value : statement.parameters) {
    values.push_back(value ? value->c_str() : nullptr);
  }
  return PQsendQueryParams(connection, statement.sql.c_str(),
                           static_cast<int>(values.size()), nullptr,
                           values.data(), nullptr, nullptr, 0) == 1;
}

}  // namespace

PgConnection::PgConnection(boost::asio::io_context& context,
                           MemberDialect member_dialect,
                           PgConnectionHooks connection_hooks)
    : io(context),
      descriptor(context),
      connect_timer(context),
      dialect(std::move(member_dialect)),
      hooks(std::move(connection_hooks)) {}

PgConnection::~PgConnection() { this->Close(); }

void PgConnection::Open(const MemberInfo& info) {
  const std::string port = std::to_string(info.endpoint.port);
  const char* keys[] = {"host",       "port",    "user",
                        "dbname",     "sslmode", "application_name",
                        "gssencmode", nullptr};
  const char* values[] = {info.endpoint.host.c_str(),
                          port.c_str(),
                          this->dialect.user.c_str(),
                          info.database.Value().c_str(),
                          "disable",
                          "lacewingferry",
                          "disable",
                          nullptr};
  this->connection = PQconnectStartParams(keys, values, 0);
  auto self = this->shared_from_this();
  if (this->connection == nullptr ||
      PQstatus(this->connection) == CONNECTION_BAD) {
    boost::asio::post(
        this->io, [self] { self->ReportLost(ConnectionFailure::kRefused); });
    return;
  }
  this->connect_timer.expires_after(kConnectTimeout);
  this->connect_timer.async_wait([self](boost::system::error_code error) {
    if (!error) self->ReportLost(ConnectionFailure::kRefused);
  });
  this->descriptor.assign(PQsocket(this->connection));
  this->WaitConnect(stream_descriptor::wait_write);
}

void PgConnection::WaitConnect(stream_descriptor::wait_type wait) {
  this->descriptor.async_wait(
      wait, [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && self->connection != nullptr) self->PollConnect();
      });
}

void PgConnection::PollConnect() {
  const PostgresPollingStatusType status = PQconnectPoll(this->connection);
  if (PQsocket(this->connection) >= 0 &&
      PQsocket(this->connection) != this->descriptor.native_handle()) {
    this->descriptor.release();
    this->descriptor.assign(PQsocket(this->connection));
  }
  switch (status) {
    case PGRES_POLLING_READING:
      return this->WaitConnect(stream_descriptor::wait_read);
    case PGRES_POLLING_WRITING:
      return this->WaitConnect(stream_descriptor::wait_write);
    case PGRES_POLLING_OK:
      return this->FinishConnect();
    default:
      return this->ReportLost(this->ConnectFailure());
  }
}

ConnectionFailure PgConnection::ConnectFailure() const {
  // libpq gives no error code for a refused connection, only its text.
  const char* message = PQerrorMessage(this->connection);
  return std::strstr(message, "too many") != nullptr
             ? ConnectionFailure::kTooManyConnections
             : ConnectionFailure::kRefused;
}

void PgConnection::FinishConnect() {
  this->connect_timer.cancel();
  if (PQsetnonblocking(this->connection, 1) != 0 ||
      PQenterPipelineMode(this->connection) != 1) {
    this->ReportLost(ConnectionFailure::kRefused);
    return;
  }
  this->WaitReadable();
  const auto opened = this->hooks.opened;
  opened();
}

void PgConnection::Execute(const MemberBatch& batch) {
  if (this->connection == nullptr) return;
  this->result = MemberBatchResult{};
  this->unreadable.clear();
  this->kinds.clear();
  this->executing = true;
  bool sent = true;
  for (const MemberStatement& statement : batch.statements) {
    this->kinds.push_back(statement.kind);
    sent = sent && SendStatement(this->connection,
                                 BuildMemberSql(this->dialect, statement));
  }
  sent = sent && PQpipelineSync(this->connection) == 1;
  if (!sent) {
    boost::asio::post(this->io, [self = this->shared_from_this()] {
      self->ReportLost(ConnectionFailure::kLost);
    });
    return;
  }
  this->Flush();
}

void PgConnection::Flush() {
  if (this->connection == nullptr) return;
  const int left = PQflush(this->connection);
  if (left == 0) return;
  auto self = this->shared_from_this();
  if (left < 0) {
    boost::asio::post(this->io,
                      [self] { self->ReportLost(ConnectionFailure::kLost); });
    return;
  }
  this->descriptor.async_wait(stream_descriptor::wait_write,
                              [self](boost::system::error_code error) {
                                if (!error) self->Flush();
                              });
}

void PgConnection::WaitReadable() {
  this->descriptor.async_wait(
      stream_descriptor::wait_read,
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && self->connection != nullptr) self->OnReadable();
      });
}

void PgConnection::OnReadable() {
  if (PQconsumeInput(this->connection) == 0) {
    this->ReportLost(ConnectionFailure::kLost);
    return;
  }
  const bool complete = this->executing && this->TakeResults();
  if (this->connection == nullptr) return;
  if (PQstatus(this->connection) == CONNECTION_BAD) {
    this->ReportLost(ConnectionFailure::kLost);
    return;
  }
  if (complete && !this->unreadable.empty()) {
    // What the statements did is unknown, as if their answer had been lost.
    this->hooks.unreadable(this->unreadable);
    this->ReportLost(ConnectionFailure::kLost);
    return;
  }
  this->WaitReadable();
  if (!complete) return;
  this->executing = false;
  // The receiver may send the next batch or close this connection.
  const MemberBatchResult whole = std::move(this->result);
  const auto completed = this->hooks.completed;
  completed(whole);
}

bool PgConnection::TakeResults() {
  while (PQisBusy(this->connection) == 0) {
    PGresult* next = PQgetResult(this->connection);
    if (next == nullptr) {
      if (PQstatus(this->connection) == CONNECTION_BAD) return false;
      continue;
    }
    const bool end = PQresultStatus(next) == PGRES_PIPELINE_SYNC;
    if (!end) this->TakeResult(next);
    PQclear(next);
    if (end) return true;
  }
  return false;
}

void PgConnection::TakeResult(const PGresult* next) {
  const ExecStatusType status = PQresultStatus(next);
  if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
      status == PGRES_EMPTY_QUERY) {
    this->TakeRows(next);
    return;
  }
  if (status == PGRES_PIPELINE_ABORTED || this->result.error) return;
  this->TakeError(next);
}

MemberStatementKind PgConnection::KindOfNext() const {
  const std::size_t place = this->result.results.size();
  return place < this->kinds.size() ? this->kinds[place]
                                    : MemberStatementKind::kCaller;
}

void PgConnection::TakeRows(const PGresult* next) {
  const MemberStatementKind kind = this->KindOfNext();
  try {
    this->result.results.push_back(ReadMemberResult(kind, ReadRows(next)));
  } catch (const DecodeError& error) {
    this->result.results.emplace_back();
    this->unreadable = error.what();
  }
}

void PgConnection::TakeError(const PGresult* next) {
  const char* sqlstate = PQresultErrorField(next, PG_DIAG_SQLSTATE);
  const char* message = PQresultErrorField(next, PG_DIAG_MESSAGE_PRIMARY);
  MemberError error;
  error.code = sqlstate == nullptr ? kUnknownFailure : sqlstate;
  error.message = message == nullptr ? "no message" : message;
  error.kind = ClassifyMemberError(this->KindOfNext(), error.code);
  this->result.error = std::move(error);
}

void PgConnection::ReportLost(ConnectionFailure failure) {
  if (this->connection == nullptr && !this->hooks.lost) return;
  auto report = std::move(this->hooks.lost);
  this->Close();
  if (report) report(failure);
}

void PgConnection::Close() {
  this->connect_timer.cancel();
  this->hooks = PgConnectionHooks{};
  if (this->descriptor.is_open()) this->descriptor.release();
  if (this->connection != nullptr) PQfinish(this->connection);
  this->connection = nullptr;
}

}  // namespace lacewingferry
