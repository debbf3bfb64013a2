#ifndef STANDIN_SQL_SESSION_H_
#define STANDIN_SQL_SESSION_H_

// Defines SqlSession, a client's statements and transaction without regard to
// the protocol that carries them.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingferry/core/statement.h"
#include "standin/ferry_call.h"
#include "standin/sql_connection.h"
#include "standin/statement_kind.h"
#include "standin/write_lock.h"

namespace lacewingferry::standin {

/** What a session needs of its member. */
struct SqlSessionHooks {
  /** Whether the member may write now. */
  std::function<bool()> is_primary;
  /** Makes a committed transaction part of the durable log. */
  std::function<void(std::vector<SqlStatement>)> append;
  /** Runs one of the member's own functions. Throws SqlError. */
  std::function<ResultSet(const FerryCall&,
                          const std::vector<std::string>& arguments)>
      call;
};

/** A statement that is ready to run. */
struct PreparedStatement {
  std::string sql;
  StatementClass classified;
  std::optional<FerryCall> call;
  CompiledStatement compiled;

  /** The names of the result's columns; none when it returns no rows. */
  const std::vector<std::string>& Columns() const;
  int ParameterCount() const;
};
using PreparedStatementPtr = std::shared_ptr<PreparedStatement>;

/** What became of a statement. */
struct StatementResult {
  std::optional<SqlError> error;
  ResultSet rows;
  /** The command's tag, for example UPDATE 3. */
  std::string tag;
};

/** A client's session. Reads see committed data; the first write takes the
 * lock and opens a transaction, which ends with COMMIT, or with the batch
 * when no BEGIN came before. */
class SqlSession : public std::enable_shared_from_this<SqlSession> {
 public:
  using Done = std::function<void(const StatementResult&)>;

  /** The number names the session in the lock's queue and is never 0. */
  SqlSession(WriteLock::Owner session_number,
             std::unique_ptr<SqlConnection> opened, WriteLock& write_lock,
             SqlSessionHooks session_hooks);
  ~SqlSession();
  SqlSession(const SqlSession&) = delete;
  SqlSession& operator=(const SqlSession&) = delete;

  /** Prepares the first statement of a text and sets rest to what follows.
   * Throws SqlError. */
  PreparedStatementPtr Prepare(std::string_view sql, std::string_view& rest);

  /** Runs a statement; done may be called within the call. Nothing else may
   * be asked of the session before. */
  void Execute(const PreparedStatementPtr& statement,
               std::vector<SqlValue> parameters, const Done& done);

  /** Ends a batch: commits what no BEGIN opened. Throws SqlError. */
  void FinishBatch();

  /** Takes note of an error: the transaction ends without effect, and an
   * explicit one refuses statements until it is ended. */
  void Fail();

  /** Ends a write transaction because the member is no longer primary. */
  void Demote();

  /** I without a transaction, T inside one, E inside a failed one. */
  char Status() const;

 private:
  void CheckUsable(StatementKind kind) const;
  StatementResult RunControl(const PreparedStatement& statement);
  StatementResult RunCommit();
  void Write(const PreparedStatementPtr& statement,
             std::vector<SqlValue> parameters, const Done& done);
  StatementResult RunSql(PreparedStatement& statement,
                         const std::vector<SqlValue>& parameters);
  void RequirePrimary() const;
  void Commit();
  void Rollback();

  WriteLock::Owner number;
  std::unique_ptr<SqlConnection> connection;
  WriteLock& lock;
  SqlSessionHooks hooks;
  bool writing = false;
  bool in_block = false;
  bool failed = false;
  bool demoted = false;
  std::vector<SqlStatement> changes;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_SQL_SESSION_H_
