#ifndef STANDIN_SQL_ENGINE_H_
#define STANDIN_SQL_ENGINE_H_

// Defines SqlEngine, the database that results from replaying the log.

#include <cstdint>
#include <memory>
#include <string>

#include "standin/log_entry.h"
#include "standin/sql_connection.h"

namespace lacewingferry::standin {

/** A database file in a folder of its own, made anew by each run. Nothing in
 * it needs to survive, since the log does. The folder is removed at the end;
 * one that a killed run left behind is removed at the start. */
class SqlEngine {
 public:
  /** Makes an empty database in a folder named engine in the data folder, or
   * in a new temporary folder without one. Throws UserError. */
  explicit SqlEngine(const std::string& data_folder);
  ~SqlEngine();
  SqlEngine(const SqlEngine&) = delete;
  SqlEngine& operator=(const SqlEngine&) = delete;

  /** Opens a connection for a session. Throws SqlError. */
  std::unique_ptr<SqlConnection> Open() const;

  /** Applies an entry in one transaction. Throws SqlError when a statement
   * that ran at the primary doesn't run here. */
  void Apply(const LogEntry& entry);

  /** Starts again with an empty database. Connections opened before go on to
   * see the former one and have to be dropped. */
  void Reset();

 private:
  std::string folder;
  std::uint64_t generation = 0;
  std::string path;
  std::unique_ptr<SqlConnection> writer;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_SQL_ENGINE_H_
