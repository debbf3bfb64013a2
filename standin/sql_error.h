#ifndef STANDIN_SQL_ERROR_H_
#define STANDIN_SQL_ERROR_H_

// Defines SqlError, a statement's failure with its error code.

#include <string>
#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::standin {

/** A statement that failed. The code is a five-character SQLSTATE. */
class SqlError : public UserError {
 public:
  SqlError(std::string code, const std::string& message)
      : UserError(message), sqlstate(std::move(code)) {}

  /** The five-character error code, for example 23505. */
  const std::string& Sqlstate() const { return this->sqlstate; }

 private:
  std::string sqlstate;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_SQL_ERROR_H_
