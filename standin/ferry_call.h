#ifndef STANDIN_FERRY_CALL_H_
#define STANDIN_FERRY_CALL_H_

// Defines ParseFerryCall, which recognises a statement that calls one of the
// member's own functions, such as SELECT ferry_fence($1).

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingferry/core/statement.h"

namespace lacewingferry::standin {

/** The member's own functions. */
enum class FerryFunction : std::uint8_t {
  kStatus,
  kFence,
  kPromote,
  kFollow,
  kSetLag,
  kLeave,
};

/** An argument: a literal, or the number of a parameter counted from 1. */
struct FerryArgument {
  std::string literal;
  int parameter = 0;
};

/** A call as it stands in a statement. */
struct FerryCall {
  FerryFunction function = FerryFunction::kStatus;
  std::vector<FerryArgument> arguments;

  /** The names of the result's columns. */
  const std::vector<std::string>& Columns() const;

  /** How many parameters the statement takes. */
  int ParameterCount() const;

  /** The arguments' values. Throws SqlError for a missing parameter. */
  std::vector<std::string> Resolve(
      const std::vector<SqlValue>& parameters) const;
};

/** The call in a statement; none when the statement is another one. Throws
 * SqlError for an unknown function or a wrong number of arguments. */
std::optional<FerryCall> ParseFerryCall(std::string_view sql);

}  // namespace lacewingferry::standin

#endif  // STANDIN_FERRY_CALL_H_
