#include "standin/sql_connection.h"

#include <algorithm>
#include <cstdlib>

#include "standin/nondeterministic_functions.h"

namespace lacewingferry::standin {
namespace {

/** The part of an extended error code that holds the primary one. */
constexpr int kPrimaryCodeMask = 0xFF;

/** The SQLSTATE of an engine error. */
std::string SqlstateOf(int extended_code, const std::string& message) {
  switch (extended_code) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    case SQLITE_BUSY_SNAPSHOT:
      return "40001";
    default:
      break;
  }
  const int code = extended_code & kPrimaryCodeMask;
  if (code == SQLITE_CONSTRAINT) return "23000";
  if (code == SQLITE_BUSY || code == SQLITE_LOCKED) return "40001";
  if (code == SQLITE_TOOBIG) return "54000";
  if (code == SQLITE_FULL) return "53100";
  if (message == kNondeterministicMessage) return "0A000";
  if (message.find("no such table") != std::string::npos) return "42P01";
  if (message.find("no such column") != std::string::npos) return "42703";
  if (message.find("already exists") != std::string::npos) return "42P07";
  if (message.find("no such function") != std::string::npos) return "42883";
  return code == SQLITE_ERROR ? "42601" : "XX000";
}

/** The number in a parameter's name, for example 2 for $2 or ?2; 0 for
 * another name. */
int ParameterNumber(const char* name) {
  return name == nullptr ? 0 : std::atoi(name + 1);
}

void Describe(CompiledStatement& statement) {
  sqlite3_stmt* handle = statement.handle.get();
  const int columns = sqlite3_column_count(handle);
  for (int i = 0; i < columns; ++i) {
    statement.columns.emplace_back(sqlite3_column_name(handle, i));
  }
  const int names = sqlite3_bind_parameter_count(handle);
  for (int i = 1; i <= names; ++i) {
    const int number = ParameterNumber(sqlite3_bind_parameter_name(handle, i));
    if (number <= 0) {
      throw SqlError("42P02", "parameters are named $1, $2, ...");
    }
    statement.parameter_count = std::max(statement.parameter_count, number);
  }
  statement.read_only = sqlite3_stmt_readonly(handle) != 0;
}

std::vector<SqlValue> ReadRow(sqlite3_stmt* handle) {
  std::vector<SqlValue> row;
  const int columns = sqlite3_column_count(handle);
  row.reserve(static_cast<std::size_t>(columns));
  for (int i = 0; i < columns; ++i) {
    const auto* text =
        reinterpret_cast<const char*>(sqlite3_column_text(handle, i));
    if (text == nullptr) {
      row.emplace_back();
      continue;
    }
    const int bytes = sqlite3_column_bytes(handle, i);
    row.emplace_back(std::string(text, static_cast<std::size_t>(bytes)));
  }
  return row;
}

}  // namespace

SqlConnection::SqlConnection(const std::string& path) {
  sqlite3* opened = nullptr;
  const int code = sqlite3_open_v2(
      path.c_str(), &opened,
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX,
      nullptr);
  this->database.reset(opened);
  if (code != SQLITE_OK) this->Fail(code);
  sqlite3_extended_result_codes(opened, 1);
  ForbidNondeterministicFunctions(opened);
  this->Run(SqlStatement{"PRAGMA journal_mode=WAL", {}});
  this->Run(SqlStatement{"PRAGMA synchronous=OFF", {}});
  this->Run(SqlStatement{"PRAGMA foreign_keys=ON", {}});
}

CompiledStatement SqlConnection::Compile(std::string_view sql,
                                         std::string_view& rest) {
  sqlite3_stmt* handle = nullptr;
  const char* tail = nullptr;
  const int code =
      sqlite3_prepare_v2(this->database.get(), sql.data(),
                         static_cast<int>(sql.size()), &handle, &tail);
  CompiledStatement statement;
  statement.handle.reset(handle);
  if (code != SQLITE_OK) this->Fail(code);
  rest = sql.substr(static_cast<std::size_t>(tail - sql.data()));
  if (handle != nullptr) Describe(statement);
  return statement;
}

void SqlConnection::Bind(CompiledStatement& statement,
                         const std::vector<SqlValue>& parameters) {
  sqlite3_stmt* handle = statement.handle.get();
  sqlite3_clear_bindings(handle);
  const int names = sqlite3_bind_parameter_count(handle);
  for (int i = 1; i <= names; ++i) {
    const auto index = static_cast<std::size_t>(ParameterNumber(
                           sqlite3_bind_parameter_name(handle, i))) -
                       1;
    if (index >= parameters.size()) {
      throw SqlError("08P01", "too few parameters are bound");
    }
    const SqlValue& value = parameters[index];
    if (!value) continue;
    const int code = sqlite3_bind_text64(
        handle, i, value->data(), value->size(), SQLITE_TRANSIENT, SQLITE_UTF8);
    if (code != SQLITE_OK) this->Fail(code);
  }
}

ResultSet SqlConnection::Run(CompiledStatement& statement,
                             const std::vector<SqlValue>& parameters) {
  this->Bind(statement, parameters);
  ResultSet result;
  result.columns = statement.columns;
  sqlite3_stmt* handle = statement.handle.get();
  const int before = sqlite3_total_changes(this->database.get());
  int code = sqlite3_step(handle);
  while (code == SQLITE_ROW) {
    result.rows.push_back(ReadRow(handle));
    code = sqlite3_step(handle);
  }
  if (code != SQLITE_DONE) {
    const std::string message = sqlite3_errmsg(this->database.get());
    sqlite3_reset(handle);
    throw SqlError(SqlstateOf(code, message), message);
  }
  sqlite3_reset(handle);
  if (!statement.read_only &&
      sqlite3_total_changes(this->database.get()) != before) {
    result.affected_rows =
        static_cast<std::uint64_t>(sqlite3_changes(this->database.get()));
  }
  return result;
}

ResultSet SqlConnection::Run(const SqlStatement& statement) {
  std::string_view rest;
  CompiledStatement compiled = this->Compile(statement.sql, rest);
  if (compiled.handle == nullptr) return {};
  return this->Run(compiled, statement.parameters);
}

void SqlConnection::Rollback() {
  if (sqlite3_get_autocommit(this->database.get()) == 0) {
    this->Run(SqlStatement{"ROLLBACK", {}});
  }
}

void SqlConnection::Fail(int code) {
  const std::string message = this->database == nullptr
                                  ? sqlite3_errstr(code)
                                  : sqlite3_errmsg(this->database.get());
  throw SqlError(SqlstateOf(code, message), message);
}

}  // namespace lacewingferry::standin
