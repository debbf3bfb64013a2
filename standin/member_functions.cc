#include "standin/member_functions.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <limits>

namespace lacewingferry::standin {
namespace {

using Row = std::vector<SqlValue>;

/** The longest lag that can be set. */
constexpr std::chrono::milliseconds kMaxLag = std::chrono::hours(1);

std::uint64_t ReadNumber(const std::string& text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end || value > max) {
    throw SqlError("22P02", "not a number in range: \"" + text + "\"");
  }
  return value;
}

/** Terms are signed 64-bit numbers to SQL clients. */
std::uint64_t ReadTerm(const std::string& text) {
  return ReadNumber(text, static_cast<std::uint64_t>(
                              std::numeric_limits<std::int64_t>::max()));
}

std::chrono::milliseconds ReadLag(const std::string& text) {
  return std::chrono::milliseconds(
      ReadNumber(text, static_cast<std::uint64_t>(kMaxLag.count())));
}

Endpoint ReadEndpoint(const std::string& host, const std::string& port) {
  boost::system::error_code bad_host;
  boost::asio::ip::make_address(host, bad_host);
  if (bad_host) throw SqlError("22P02", "not an IP number: \"" + host + "\"");
  return Endpoint{host, static_cast<std::uint16_t>(ReadNumber(
                            port, std::numeric_limits<std::uint16_t>::max()))};
}

std::string Flag(bool value) { return value ? "t" : "f"; }

Row StatusRow(const MemberStatus& status) {
  return Row{status.member,
             Flag(status.self),
             status.primary ? "primary" : "replica",
             std::to_string(status.term),
             std::to_string(status.history.term),
             std::to_string(status.history.offset),
             std::to_string(status.applied.term),
             std::to_string(status.applied.offset)};
}

std::vector<Row> StatusRows(const Member& member) {
  std::vector<Row> rows;
  for (const MemberStatus& status : member.Status()) {
    rows.push_back(StatusRow(status));
  }
  return rows;
}

Row TermRow(const Member& member, bool accepted) {
  return Row{Flag(accepted), std::to_string(member.State().term)};
}

Row FenceRow(Member& member, std::uint64_t term) {
  const bool accepted = member.Fence(term);
  Row row = TermRow(member, accepted);
  row.emplace_back(std::to_string(member.History().term));
  row.emplace_back(std::to_string(member.History().offset));
  return row;
}

}  // namespace

ResultSet CallMemberFunction(Member& member, const std::function<void()>& leave,
                             const FerryCall& call,
                             const std::vector<std::string>& arguments) {
  ResultSet result;
  result.columns = call.Columns();
  switch (call.function) {
    case FerryFunction::kStatus:
      result.rows = StatusRows(member);
      break;
    case FerryFunction::kFence:
      result.rows = {FenceRow(member, ReadTerm(arguments[0]))};
      break;
    case FerryFunction::kPromote: {
      const bool accepted = member.Promote(ReadTerm(arguments[0]));
      result.rows = {TermRow(member, accepted)};
      break;
    }
    case FerryFunction::kFollow: {
      const bool accepted = member.Follow(
          ReadTerm(arguments[0]), ReadEndpoint(arguments[1], arguments[2]));
      result.rows = {TermRow(member, accepted)};
      break;
    }
    case FerryFunction::kSetLag:
      member.SetLag(ReadLag(arguments[0]));
      result.rows = {Row{Flag(true)}};
      break;
    case FerryFunction::kLeave:
      leave();
      result.rows = {Row{Flag(true)}};
      break;
  }
  return result;
}

}  // namespace lacewingferry::standin
