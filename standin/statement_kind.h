#ifndef STANDIN_STATEMENT_KIND_H_
#define STANDIN_STATEMENT_KIND_H_

// Defines ClassifyStatement, which tells transaction control from other SQL by
// a statement's first word.

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewingferry::standin {

/** What a statement does to its session. */
enum class StatementKind : std::uint8_t {
  kEmpty,
  kBegin,
  kCommit,
  kRollback,
  /** A session setting, which is taken and ignored. */
  kSet,
  /** One of the member's own functions. */
  kFerryCall,
  /** Not served, because it would reach outside the replicated data. */
  kForbidden,
  /** Any other SQL, left to the engine. */
  kSql,
};

/** A statement's kind and its first word in capitals. */
struct StatementClass {
  StatementKind kind = StatementKind::kEmpty;
  std::string keyword;
};

/** Classifies one statement. */
StatementClass ClassifyStatement(std::string_view sql);

}  // namespace lacewingferry::standin

#endif  // STANDIN_STATEMENT_KIND_H_
