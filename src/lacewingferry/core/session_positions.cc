#include "lacewingferry/core/session_positions.h"

#include <algorithm>
#include <cstddef>

namespace lacewingferry {
namespace {

/** With names of 32 characters a token of this many databases has about 4 KB
 * of text, which fits into a header field. */
constexpr std::size_t kMostDatabases = 64;

}  // namespace

std::optional<LogPosition> FindPosition(const SessionToken& token,
                                        const DatabaseId& database) {
  for (const SeenPosition& seen : token.positions) {
    if (seen.database == database) return seen.position;
  }
  return std::nullopt;
}

SessionToken AdvanceToken(SessionToken token, const DatabaseId& database,
                          const Outcome& outcome) {
  const auto* answer = std::get_if<Answered>(&outcome);
  // The answer to a BEGIN or a ROLLBACK has seen no position. An entry without
  // one would claim that the session has seen nothing.
  if (answer == nullptr || answer->position == LogPosition{}) return token;
  auto& positions = token.positions;
  const auto found = std::find_if(
      positions.begin(), positions.end(),
      [&database](const SeenPosition& s) { return s.database == database; });
  SeenPosition seen{database, answer->position};
  if (found != positions.end()) {
    seen.position = std::max(seen.position, found->position);
    positions.erase(found);
  }
  positions.insert(positions.begin(), std::move(seen));
  if (positions.size() > kMostDatabases) positions.resize(kMostDatabases);
  return token;
}

}  // namespace lacewingferry
