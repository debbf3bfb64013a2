#include "standin/sql_session.h"

#include <cctype>
#include <sstream>
#include <utility>

namespace lacewingferry::standin {
namespace {

const char kReadOnlySqlstate[] = "25006";

SqlError DemotedError() {
  return SqlError(kReadOnlySqlstate,
                  "rolled back: this member is no longer the primary");
}

/** The second word of a schema change, for example TABLE. */
std::string SecondWord(const std::string& sql) {
  std::istringstream words(sql);
  std::string word;
  words >> word >> word;
  for (char& c : word) {
    c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return word;
}

std::string TagOf(const std::string& keyword, const std::string& sql,
                  const ResultSet& result) {
  if (keyword == "INSERT" || keyword == "REPLACE") {
    return "INSERT 0 " + std::to_string(result.affected_rows);
  }
  if (keyword == "UPDATE" || keyword == "DELETE") {
    return keyword + " " + std::to_string(result.affected_rows);
  }
  if (!result.columns.empty()) {
    return "SELECT " + std::to_string(result.rows.size());
  }
  return keyword == "CREATE" || keyword == "DROP" || keyword == "ALTER"
             ? keyword + " " + SecondWord(sql)
             : keyword;
}

/** Whether a statement that ran has to be replayed elsewhere. */
bool ChangedData(const std::string& keyword, const ResultSet& result) {
  const bool counts_rows = keyword == "INSERT" || keyword == "UPDATE" ||
                           keyword == "DELETE" || keyword == "REPLACE" ||
                           keyword == "WITH";
  return !counts_rows || result.affected_rows > 0;
}

}  // namespace

const std::vector<std::string>& PreparedStatement::Columns() const {
  return this->call ? this->call->Columns() : this->compiled.columns;
}

int PreparedStatement::ParameterCount() const {
  return this->call ? this->call->ParameterCount()
                    : this->compiled.parameter_count;
}

SqlSession::SqlSession(WriteLock::Owner session_number,
                       std::unique_ptr<SqlConnection> opened,
                       WriteLock& write_lock, SqlSessionHooks session_hooks)
    : number(session_number),
      connection(std::move(opened)),
      lock(write_lock),
      hooks(std::move(session_hooks)) {}

SqlSession::~SqlSession() {
  // The connection rolls back as it closes; only then may another write.
  this->connection.reset();
  this->lock.Release(this->number);
}

PreparedStatementPtr SqlSession::Prepare(std::string_view sql,
                                         std::string_view& rest) {
  auto prepared = std::make_shared<PreparedStatement>();
  prepared->classified = ClassifyStatement(sql);
  const StatementKind kind = prepared->classified.kind;
  this->CheckUsable(kind);
  if (kind == StatementKind::kForbidden) {
    throw SqlError("0A000", prepared->classified.keyword + " isn't served");
  }
  if (kind == StatementKind::kSql) {
    prepared->compiled = this->connection->Compile(sql, rest);
  } else {
    const auto end = sql.find(';');
    rest = end == std::string_view::npos ? "" : sql.substr(end + 1);
    if (kind == StatementKind::kEmpty) rest = "";
    if (kind == StatementKind::kFerryCall) {
      prepared->call = ParseFerryCall(sql.substr(0, sql.size() - rest.size()));
    }
  }
  prepared->sql = std::string(sql.substr(0, sql.size() - rest.size()));
  return prepared;
}

void SqlSession::CheckUsable(StatementKind kind) const {
  const bool ends =
      kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  if (this->failed && !ends) {
    throw SqlError("25P02",
                   "current transaction is aborted, commands ignored until end "
                   "of transaction block");
  }
}

void SqlSession::Execute(const PreparedStatementPtr& statement,
                         std::vector<SqlValue> parameters, const Done& done) {
  StatementResult result;
  try {
    const StatementKind kind = statement->classified.kind;
    this->CheckUsable(kind);
    if (kind == StatementKind::kSql && !statement->compiled.read_only) {
      this->Write(statement, std::move(parameters), done);
      return;
    }
    if (kind == StatementKind::kFerryCall) {
      const auto arguments = statement->call->Resolve(parameters);
      result.rows = this->hooks.call(*statement->call, arguments);
      result.tag = TagOf("SELECT", statement->sql, result.rows);
    } else if (kind == StatementKind::kSql) {
      result = this->RunSql(*statement, parameters);
    } else {
      result = this->RunControl(*statement);
    }
  } catch (const SqlError& error) {
    result.error = error;
  }
  done(result);
}

StatementResult SqlSession::RunControl(const PreparedStatement& statement) {
  StatementResult result;
  result.tag = statement.classified.keyword;
  switch (statement.classified.kind) {
    case StatementKind::kBegin:
      this->in_block = true;
      result.tag = "BEGIN";
      break;
    case StatementKind::kCommit:
      return this->RunCommit();
    case StatementKind::kRollback:
      this->Rollback();
      this->in_block = false;
      this->failed = false;
      this->demoted = false;
      result.tag = "ROLLBACK";
      break;
    default:
      break;
  }
  return result;
}

StatementResult SqlSession::RunCommit() {
  StatementResult result;
  result.tag = this->failed ? "ROLLBACK" : "COMMIT";
  this->in_block = false;
  this->failed = false;
  if (std::exchange(this->demoted, false)) throw DemotedError();
  this->Commit();
  return result;
}

void SqlSession::RequirePrimary() const {
  if (this->demoted) throw DemotedError();
  if (!this->hooks.is_primary()) {
    throw SqlError(kReadOnlySqlstate,
                   "cannot write: this member is not the primary");
  }
}

void SqlSession::Write(const PreparedStatementPtr& statement,
                       std::vector<SqlValue> parameters, const Done& done) {
  this->RequirePrimary();
  const auto run = [this, statement, values = std::move(parameters),
                    done](const std::optional<SqlError>& refused) {
    StatementResult result;
    try {
      if (refused) throw SqlError(*refused);
      this->RequirePrimary();
      if (!std::exchange(this->writing, true)) this->connection->Begin();
      result = this->RunSql(*statement, values);
    } catch (const SqlError& error) {
      result.error = error;
    }
    done(result);
  };
  if (this->writing) {
    run(std::nullopt);
    return;
  }
  this->lock.Acquire(this->number, [weak = this->weak_from_this(), run](
                                       const std::optional<SqlError>& refused) {
    const auto self = weak.lock();
    if (self) run(refused);
  });
}

StatementResult SqlSession::RunSql(PreparedStatement& statement,
                                   const std::vector<SqlValue>& parameters) {
  if (this->demoted) throw DemotedError();
  const std::string& keyword = statement.classified.keyword;
  StatementResult result;
  result.rows = this->connection->Run(statement.compiled, parameters);
  result.tag = TagOf(keyword, statement.sql, result.rows);
  if (!statement.compiled.read_only && ChangedData(keyword, result.rows)) {
    this->changes.push_back(SqlStatement{statement.sql, parameters});
  }
  return result;
}

void SqlSession::FinishBatch() {
  if (this->in_block) return;
  if (std::exchange(this->demoted, false)) throw DemotedError();
  this->Commit();
}

void SqlSession::Fail() {
  this->Rollback();
  this->failed = this->in_block;
  this->demoted = false;
}

void SqlSession::Demote() {
  if (!this->writing) return;
  this->Rollback();
  this->demoted = true;
}

char SqlSession::Status() const {
  if (!this->in_block) return 'I';
  return this->failed ? 'E' : 'T';
}

void SqlSession::Commit() {
  if (!this->writing) return;
  try {
    this->connection->Commit();
  } catch (const SqlError&) {
    this->Rollback();
    throw;
  }
  this->writing = false;
  std::vector<SqlStatement> committed = std::exchange(this->changes, {});
  if (!committed.empty()) this->hooks.append(std::move(committed));
  this->lock.Release(this->number);
}

void SqlSession::Rollback() {
  this->changes.clear();
  this->writing = false;
  this->connection->Rollback();
  this->lock.Release(this->number);
}

}  // namespace lacewingferry::standin
