#include "standin/statement_kind.h"

#include <cctype>
#include <unordered_map>

#include "standin/ferry_call.h"

namespace lacewingferry::standin {
namespace {

/** Removes leading white space, semicolons and comments. */
std::string_view SkipBlank(std::string_view sql) {
  while (!sql.empty()) {
    const auto text = sql.find_first_not_of(" \t\r\n\f;");
    if (text == std::string_view::npos) return {};
    sql.remove_prefix(text);
    if (sql.substr(0, 2) == "--") {
      const auto end = sql.find('\n');
      if (end == std::string_view::npos) return {};
      sql.remove_prefix(end + 1);
    } else if (sql.substr(0, 2) == "/*") {
      const auto end = sql.find("*/", 2);
      if (end == std::string_view::npos) return {};
      sql.remove_prefix(end + 2);
    } else {
      return sql;
    }
  }
  return sql;
}

std::string FirstWord(std::string_view sql) {
  std::string word;
  for (const char c : sql) {
    if (std::isalpha(static_cast<unsigned char>(c)) == 0) break;
    word.push_back(
        static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
  }
  return word;
}

StatementKind KindOf(const std::string& keyword) {
  static const std::unordered_map<std::string, StatementKind> kKinds{
      {"BEGIN", StatementKind::kBegin},
      {"START", StatementKind::kBegin},
      {"COMMIT", StatementKind::kCommit},
      {"END", StatementKind::kCommit},
      {"ROLLBACK", StatementKind::kRollback},
      {"ABORT", StatementKind::kRollback},
      {"SET", StatementKind::kSet},
      {"RESET", StatementKind::kSet},
      {"DISCARD", StatementKind::kSet},
      {"ATTACH", StatementKind::kForbidden},
      {"DETACH", StatementKind::kForbidden},
      {"PRAGMA", StatementKind::kForbidden},
      {"VACUUM", StatementKind::kForbidden},
      {"SAVEPOINT", StatementKind::kForbidden},
      {"RELEASE", StatementKind::kForbidden}};
  const auto found = kKinds.find(keyword);
  return found == kKinds.end() ? StatementKind::kSql : found->second;
}

}  // namespace

StatementClass ClassifyStatement(std::string_view sql) {
  const std::string_view text = SkipBlank(sql);
  if (text.empty()) return {};
  StatementClass result{StatementKind::kSql, FirstWord(text)};
  result.kind = KindOf(result.keyword);
  if (result.keyword == "SELECT" && ParseFerryCall(text)) {
    result.kind = StatementKind::kFerryCall;
  }
  return result;
}

}  // namespace lacewingferry::standin
