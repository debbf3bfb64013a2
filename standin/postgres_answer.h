#ifndef STANDIN_POSTGRES_ANSWER_H_
#define STANDIN_POSTGRES_ANSWER_H_

// Defines PostgresAnswer, which encodes the messages of a server of
// PostgreSQL's protocol version 3.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/core/statement.h"
#include "standin/sql_error.h"

namespace lacewingferry::standin {

/** Collects encoded messages until they are sent. */
class PostgresAnswer {
 public:
  /** Accepts the client, with the session's settings and number. */
  void Welcome(std::uint32_t session_number);
  void ParseComplete() { this->Add('1', ""); }
  void BindComplete() { this->Add('2', ""); }
  void CloseComplete() { this->Add('3', ""); }
  void NoData() { this->Add('n', ""); }
  void EmptyQuery() { this->Add('I', ""); }
  /** States how many parameters a statement takes. */
  void ParameterDescription(int count);
  /** States the columns of a result, all of type text. */
  void RowDescription(const std::vector<std::string>& columns);
  void DataRow(const std::vector<SqlValue>& row);
  /** Ends a statement, for example with the tag INSERT 0 1. */
  void CommandComplete(const std::string& tag);
  void Error(const SqlError& error, bool fatal = false);
  /** Ends a batch with the transaction status I, T or E. */
  void ReadyForQuery(char status);

  /** Takes the collected bytes. */
  std::string TakeBytes() { return std::exchange(this->bytes, {}); }

 private:
  void Add(char type, const std::string& body);

  std::string bytes;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_POSTGRES_ANSWER_H_
