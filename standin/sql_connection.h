#ifndef STANDIN_SQL_CONNECTION_H_
#define STANDIN_SQL_CONNECTION_H_

// Defines SqlConnection, one connection to the SQLite engine.

#include <sqlite3.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingferry/core/statement.h"
#include "standin/sql_error.h"

namespace lacewingferry::standin {

/** A statement that the engine has compiled. */
struct CompiledStatement {
  std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt*)> handle{
      nullptr, sqlite3_finalize};
  std::vector<std::string> columns;
  /** The number of the highest parameter, from $1 upwards. */
  int parameter_count = 0;
  bool read_only = true;
};

/** A connection to a database file, used on one thread. Statements must not
 * outlive it. All functions throw SqlError. */
class SqlConnection {
 public:
  explicit SqlConnection(const std::string& path);

  /** Compiles the first statement of a text and sets rest to what follows it.
   * The handle is null for blank text. */
  CompiledStatement Compile(std::string_view sql, std::string_view& rest);

  /** Runs a statement to its end. Parameters are bound as text. */
  ResultSet Run(CompiledStatement& statement,
                const std::vector<SqlValue>& parameters);

  /** Compiles and runs one statement. */
  ResultSet Run(const SqlStatement& statement);

  /** Starts a transaction that may write. */
  void Begin() { this->Run(SqlStatement{"BEGIN IMMEDIATE", {}}); }
  void Commit() { this->Run(SqlStatement{"COMMIT", {}}); }
  /** Ends the open transaction without effect; does nothing without one. */
  void Rollback();

 private:
  void Bind(CompiledStatement& statement,
            const std::vector<SqlValue>& parameters);
  [[noreturn]] void Fail(int code);

  std::unique_ptr<sqlite3, int (*)(sqlite3*)> database{nullptr,
                                                       sqlite3_close_v2};
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_SQL_CONNECTION_H_
