#include "lacewingferry/decisions/execution/statement_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>
#include <string_view>

namespace lacewingferry {
namespace {

constexpr std::array<std::string_view, 22> kForbiddenFirstWords = {
    "ABORT",     "ATTACH", "BEGIN",   "CLOSE",   "COMMIT",  "DEALLOCATE",
    "DECLARE",   "DETACH", "DISCARD", "END",     "EXECUTE", "LISTEN",
    "LOAD",      "PRAGMA", "PREPARE", "RELEASE", "RESET",   "ROLLBACK",
    "SAVEPOINT", "SET",    "START",   "UNLISTEN"};

/** Returns the offset after leading white space, semicolons and comments. */
std::size_t SkipBlanks(std::string_view sql) {
  std::size_t at = 0;
  while (at < sql.size()) {
    const std::string_view rest = sql.substr(at);
    if (std::isspace(static_cast<unsigned char>(rest[0])) != 0 ||
        rest[0] == ';') {
      ++at;
    } else if (rest.substr(0, 2) == "--") {
      at = std::min(sql.find('\n', at), sql.size());
    } else if (rest.substr(0, 2) == "/*") {
      // PostgreSQL allows nested comments. The rest of an outer comment is then
      // taken as the start of the statement, which at worst refuses it.
      const std::size_t end = sql.find("*/", at + 2);
      at = end == std::string_view::npos ? sql.size() : end + 2;
    } else {
      break;
    }
  }
  return at;
}

std::string FirstWord(std::string_view sql) {
  std::string word;
  for (std::size_t at = SkipBlanks(sql); at < sql.size(); ++at) {
    const auto c = static_cast<unsigned char>(sql[at]);
    if (std::isalpha(c) == 0 && c != '_') break;
    word += static_cast<char>(std::toupper(c));
  }
  return word;
}

}  // namespace

bool ChangesConnection(const std::string& sql) {
  const std::string word = FirstWord(sql);
  return std::find(kForbiddenFirstWords.begin(), kForbiddenFirstWords.end(),
                   word) != kForbiddenFirstWords.end();
}

}  // namespace lacewingferry
