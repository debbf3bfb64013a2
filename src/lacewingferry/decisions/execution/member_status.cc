#include "lacewingferry/decisions/execution/member_status.h"

#include <charconv>
#include <string>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

enum Column : std::size_t {
  kMember,
  kSelf,
  kRole,
  kTerm,
  kHistoryTerm,
  kHistoryOffset,
  kAppliedTerm,
  kAppliedOffset,
  kColumnCount,
};

const std::string& TextAt(const std::vector<SqlValue>& row, Column column) {
  if (!row[column]) {
    throw DecodeError("member status column " + std::to_string(column) +
                      " is null");
  }
  return *row[column];
}

std::uint64_t NumberAt(const std::vector<SqlValue>& row, Column column) {
  const std::string& text = TextAt(row, column);
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    throw DecodeError("member status column " + std::to_string(column) +
                      " is not a number: " + text);
  }
  return number;
}

MemberStatus ParseRow(const std::vector<SqlValue>& row) {
  if (row.size() < kColumnCount) {
    throw DecodeError("member status has " + std::to_string(row.size()) +
                      " columns");
  }
  MemberStatus status;
  status.member = MemberId(TextAt(row, kMember));
  status.self = TextAt(row, kSelf) == "t";
  status.primary = TextAt(row, kRole) == "primary";
  status.term = NumberAt(row, kTerm);
  status.durable = {NumberAt(row, kHistoryTerm), NumberAt(row, kHistoryOffset)};
  status.applied = {NumberAt(row, kAppliedTerm), NumberAt(row, kAppliedOffset)};
  return status;
}

}  // namespace

std::vector<MemberStatus> ParseMemberStatus(const ResultSet& result) {
  std::vector<MemberStatus> rows;
  rows.reserve(result.rows.size());
  for (const auto& row : result.rows) rows.push_back(ParseRow(row));
  return rows;
}

const MemberStatus& SelfStatus(const std::vector<MemberStatus>& rows) {
  for (const MemberStatus& row : rows) {
    if (row.self) return row;
  }
  throw DecodeError("member status has no row about the member itself");
}

}  // namespace lacewingferry
