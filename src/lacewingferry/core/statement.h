#ifndef LACEWINGFERRY_CORE_STATEMENT_H_
#define LACEWINGFERRY_CORE_STATEMENT_H_

// Defines StatementRequest, what a caller asks of a database, and ResultSet,
// the rows that a statement returns.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/log_position.h"

namespace lacewingferry {

/** What a request does. */
enum class RequestKind : std::uint8_t {
  kRead = 0,
  kWrite = 1,
  kBegin = 2,
  kCommit = 3,
  kRollback = 4,
};

/** A column value as text; no value stands for NULL. */
using SqlValue = std::optional<std::string>;

/** One SQL statement with its parameters. */
struct SqlStatement {
  std::string sql;
  std::vector<SqlValue> parameters;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("sql", self.sql);
    visit("parameters", self.parameters);
  }
};

/** The rows of one statement's result. */
struct ResultSet {
  std::vector<std::string> columns;
  std::vector<std::vector<SqlValue>> rows;
  std::uint64_t affected_rows = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("columns", self.columns);
    visit("rows", self.rows);
    visit("affected_rows", self.affected_rows);
  }
};

/** A caller's request, independent of the front end that received it. */
struct StatementRequest {
  DatabaseId database;
  RequestKind kind = RequestKind::kRead;
  SqlStatement statement;
  /** The session whose writes a read must see; empty for none. */
  SessionId session;
  CustomerId customer;
  /** Set on a request that may run at most once. */
  RequestId request_id;
  /** Whether the request may be sent again when its fate is unknown. */
  bool repeatable = false;
  /** The newest position that the session has seen, from its token. */
  std::optional<LogPosition> session_position;
  /** How old the data of a read may be; none asks for the session's view. */
  std::optional<std::chrono::milliseconds> max_age;
  /** Whether the caller brought a token that doesn't name the database, so
   * that nothing is known of what the session saw. */
  bool position_unknown = false;
  /** A replica's data that includes this position is young enough, as the
   * proxy that received the read has proven; none if it proves nothing. */
  std::optional<LogPosition> fresh_position;
  /** The open transaction that the request belongs to; empty for none. */
  TransactionId transaction;
  /** The time that the caller still waits, counted from receipt. */
  std::chrono::milliseconds timeout{0};

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor&& visit) {
    visit("database", self.database);
    visit("kind", self.kind);
    visit("statement", self.statement);
    visit("session", self.session);
    visit("customer", self.customer);
    visit("request_id", self.request_id);
    visit("repeatable", self.repeatable);
    visit("session_position", self.session_position);
    visit("max_age", self.max_age);
    visit("position_unknown", self.position_unknown);
    visit("fresh_position", self.fresh_position);
    visit("transaction", self.transaction);
    visit("timeout", self.timeout);
  }
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_STATEMENT_H_
