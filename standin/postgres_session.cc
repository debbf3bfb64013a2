#include "standin/postgres_session.h"

#include <boost/asio/buffer.hpp>
#include <utility>
#include <variant>

namespace lacewingferry::standin {
namespace {

using boost::asio::ip::tcp;

/** Codes that stand first in a startup message. */
constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;

/** Requests wait while more than this many bytes of answers do. */
constexpr std::size_t kMaxQueuedAnswers = 4UL * 1024 * 1024;

/** How long a client may take to read its last error. */
constexpr std::chrono::milliseconds kShutTimeout{1000};

std::uint32_t StartupCode(const PostgresFrame& frame) {
  if (frame.body.size() < sizeof(std::uint32_t)) {
    throw DecodeError("short startup message");
  }
  std::uint32_t code = 0;
  for (std::size_t i = 0; i < sizeof(code); ++i) {
    code = (code << 8U) | static_cast<unsigned char>(frame.body[i]);
  }
  return code;
}

}  // namespace

PostgresSession::PostgresSession(tcp::socket connected,
                                 std::uint32_t session_number,
                                 PostgresDelays session_delays,
                                 PostgresSessionHooks session_hooks)
    : socket(std::make_shared<tcp::socket>(std::move(connected))),
      number(session_number),
      delays(session_delays),
      hooks(std::move(session_hooks)),
      writer(std::make_shared<DelayedWriter>(this->socket, delays.latency)),
      timer(this->socket->get_executor()) {
  boost::system::error_code ignored;
  this->socket->set_option(tcp::no_delay(true), ignored);
}

void PostgresSession::Start() {
  const std::weak_ptr<PostgresSession> weak = this->weak_from_this();
  this->writer->Start(
      [weak] {
        const auto self = weak.lock();
        if (!self) return;
        if (self->shutting) {
          self->Close();
        } else {
          self->Process();
        }
      },
      [weak] {
        if (const auto self = weak.lock()) self->Close();
      });
  this->Read();
}

void PostgresSession::Demote() {
  if (this->sql) this->sql->Demote();
}

void PostgresSession::Shut(const SqlError& reason) {
  if (this->closed || std::exchange(this->shutting, true)) return;
  this->sql.reset();
  this->answer.Error(reason, true);
  this->writer->Send(this->answer.TakeBytes());
  this->timer.expires_after(kShutTimeout + this->delays.latency);
  this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        if (!e) self->Close();
      });
}

void PostgresSession::Close() {
  if (std::exchange(this->closed, true)) return;
  this->writer->Stop();
  this->timer.cancel();
  boost::system::error_code ignored;
  this->socket->shutdown(tcp::socket::shutdown_both, ignored);
  this->socket->close(ignored);
  this->portals.clear();
  this->statements.clear();
  this->sql.reset();
  this->hooks.closed(this->number);
}

void PostgresSession::Read() {
  const bool full =
      this->reader.Waiting() > PostgresFrameReader::kMaxFrameBytes;
  if (this->closed || this->reading || full) return;
  this->reading = true;
  this->socket->async_read_some(
      boost::asio::buffer(this->chunk),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t count) {
        self->reading = false;
        if (error) {
          self->Close();
          return;
        }
        self->reader.Feed(std::string_view(self->chunk.data(), count));
        self->Process();
      });
}

void PostgresSession::Process() {
  if (this->processing || this->closed) return;
  this->processing = true;
  try {
    while (!this->closed && !this->shutting && !this->waiting &&
           this->writer->Queued() < kMaxQueuedAnswers && this->Step()) {
    }
  } catch (const DecodeError& error) {
    this->Shut(SqlError("08P01", error.what()));
  }
  this->processing = false;
  this->writer->Send(this->answer.TakeBytes());
  this->Read();
}

bool PostgresSession::Step() {
  if (this->query) {
    this->StepQuery();
    return true;
  }
  const auto frame =
      this->started ? this->reader.Next() : this->reader.NextStartup();
  if (!frame) return false;
  if (this->started) {
    this->Take(*frame);
  } else {
    this->TakeStartup(*frame);
  }
  return true;
}

void PostgresSession::TakeStartup(const PostgresFrame& frame) {
  switch (StartupCode(frame)) {
    case kSslRequest:
    case kGssRequest:
      this->writer->Send("N");
      break;
    case kCancelRequest:
      this->Close();
      break;
    case kProtocolVersion3:
      this->started = true;
      this->WaitThen(this->delays.connect, [this] { this->Welcome(); });
      break;
    default:
      throw DecodeError("unsupported protocol version");
  }
}

void PostgresSession::Welcome() {
  try {
    this->sql = this->hooks.open(this->number);
  } catch (const SqlError& error) {
    this->Shut(error);
    return;
  }
  this->answer.Welcome(this->number);
  this->answer.ReadyForQuery(this->sql->Status());
}

void PostgresSession::WaitThen(std::chrono::milliseconds delay,
                               std::function<void()> next) {
  if (delay.count() == 0) {
    next();
    return;
  }
  this->waiting = true;
  this->timer.expires_after(delay);
  this->timer.async_wait(
      [self = this->shared_from_this(),
       next = std::move(next)](const boost::system::error_code& error) {
        if (error || self->closed || self->shutting) return;
        self->waiting = false;
        next();
        self->Process();
      });
}

void PostgresSession::Take(const PostgresFrame& frame) {
  const PostgresRequest request = DecodePostgresRequest(frame);
  const bool ends = std::holds_alternative<SyncRequest>(request) ||
                    std::holds_alternative<TerminateRequest>(request);
  if (this->skipping && !ends) return;
  if (this->DelayBatch(frame)) return;
  try {
    std::visit([this](const auto& held) { this->Handle(held); }, request);
  } catch (const SqlError& error) {
    this->FailBatch(error);
    this->skipping = true;
  }
}

bool PostgresSession::DelayBatch(const PostgresFrame& frame) {
  const bool runs = frame.type == 'Q' || frame.type == 'E';
  if (!runs || this->batch_delayed || this->delays.statement.count() == 0) {
    return false;
  }
  this->batch_delayed = true;
  this->WaitThen(this->delays.statement, [this, frame] { this->Take(frame); });
  return true;
}

void PostgresSession::Run(const PreparedStatementPtr& statement,
                          std::vector<SqlValue> parameters,
                          SqlSession::Done answer_hook) {
  this->waiting = true;
  this->sql->Execute(
      statement, std::move(parameters),
      [weak = this->weak_from_this(),
       hook = std::move(answer_hook)](const StatementResult& result) {
        const auto self = weak.lock();
        if (!self || self->closed || self->shutting) return;
        self->waiting = false;
        hook(result);
        self->Process();
      });
}

void PostgresSession::Handle(const QueryRequest& request) {
  this->query = SimpleQuery{request.sql, false};
}

void PostgresSession::StepQuery() {
  try {
    std::string_view rest;
    const auto statement = this->sql->Prepare(this->query->rest, rest);
    if (statement->classified.kind == StatementKind::kEmpty) {
      if (!this->query->any) this->answer.EmptyQuery();
      this->EndQuery();
      return;
    }
    this->query = SimpleQuery{std::string(rest), true};
    this->Run(statement, {}, [this](const StatementResult& result) {
      this->AnswerQuery(result);
    });
  } catch (const SqlError& error) {
    this->FailBatch(error);
    this->EndQuery();
  }
}

void PostgresSession::AnswerQuery(const StatementResult& result) {
  if (result.error) {
    this->FailBatch(*result.error);
    this->EndQuery();
    return;
  }
  if (!result.rows.columns.empty()) {
    this->answer.RowDescription(result.rows.columns);
  }
  this->AnswerRows(result);
}

void PostgresSession::EndQuery() {
  this->query.reset();
  this->FinishBatch();
}

void PostgresSession::AnswerRows(const StatementResult& result) {
  for (const auto& row : result.rows.rows) this->answer.DataRow(row);
  this->answer.CommandComplete(result.tag);
}

void PostgresSession::FailBatch(const SqlError& error) {
  this->answer.Error(error);
  this->sql->Fail();
}

void PostgresSession::FinishBatch() {
  this->batch_delayed = false;
  try {
    this->sql->FinishBatch();
  } catch (const SqlError& error) {
    this->FailBatch(error);
  }
  this->answer.ReadyForQuery(this->sql->Status());
}

void PostgresSession::Handle(const ParseRequest& request) {
  std::string_view rest;
  auto statement = this->sql->Prepare(request.sql, rest);
  if (ClassifyStatement(rest).kind != StatementKind::kEmpty) {
    throw SqlError("42601", "cannot prepare more than one statement");
  }
  this->statements[request.statement] = std::move(statement);
  this->answer.ParseComplete();
}

void PostgresSession::Handle(const BindRequest& request) {
  const auto statement = this->FindStatement(request.statement);
  const auto expected = static_cast<std::size_t>(statement->ParameterCount());
  if (request.parameters.size() < expected) {
    throw SqlError("08P01", "bind message supplies " +
                                std::to_string(request.parameters.size()) +
                                " parameters, but the statement requires " +
                                std::to_string(expected));
  }
  this->portals[request.portal] = Portal{statement, request.parameters};
  this->answer.BindComplete();
}

void PostgresSession::Handle(const DescribeRequest& request) {
  const bool portal = request.kind == 'P';
  const auto statement = portal ? this->FindPortal(request.name).statement
                                : this->FindStatement(request.name);
  if (!portal) this->answer.ParameterDescription(statement->ParameterCount());
  if (statement->Columns().empty()) {
    this->answer.NoData();
  } else {
    this->answer.RowDescription(statement->Columns());
  }
}

void PostgresSession::Handle(const ExecuteRequest& request) {
  const Portal& portal = this->FindPortal(request.portal);
  if (portal.statement->classified.kind == StatementKind::kEmpty) {
    this->answer.EmptyQuery();
    return;
  }
  this->Run(portal.statement, portal.parameters,
            [this](const StatementResult& result) {
              if (!result.error) {
                this->AnswerRows(result);
                return;
              }
              this->FailBatch(*result.error);
              this->skipping = true;
            });
}

void PostgresSession::Handle(const CloseRequest& request) {
  if (request.kind == 'S') {
    this->statements.erase(request.name);
  } else {
    this->portals.erase(request.name);
  }
  this->answer.CloseComplete();
}

void PostgresSession::Handle(const SyncRequest& /*request*/) {
  this->skipping = false;
  this->FinishBatch();
}

void PostgresSession::Handle(const FlushRequest& /*request*/) {
  this->writer->Send(this->answer.TakeBytes());
}

void PostgresSession::Handle(const TerminateRequest& /*request*/) {
  this->Close();
}

PreparedStatementPtr PostgresSession::FindStatement(
    const std::string& name) const {
  const auto found = this->statements.find(name);
  if (found == this->statements.end()) {
    throw SqlError("26000", "no prepared statement \"" + name + "\"");
  }
  return found->second;
}

PostgresSession::Portal& PostgresSession::FindPortal(const std::string& name) {
  const auto found = this->portals.find(name);
  if (found == this->portals.end()) {
    throw SqlError("34000", "no portal \"" + name + "\"");
  }
  return found->second;
}

}  // namespace lacewingferry::standin
