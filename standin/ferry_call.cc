#include "standin/ferry_call.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <regex>

#include "standin/sql_error.h"

namespace lacewingferry::standin {
namespace {

/** The longest statement that is looked at, in bytes. */
constexpr std::size_t kMaxCallBytes = 1024;

/** A function's name and shape. */
struct FunctionShape {
  const char* name;
  FerryFunction function;
  std::size_t argument_count;
  std::vector<std::string> columns;
};

const std::array<FunctionShape, 6>& Shapes() {
  static const std::array<FunctionShape, 6> kShapes{
      {{"status",
        FerryFunction::kStatus,
        0,
        {"member", "self", "role", "term", "history_term", "history_offset",
         "applied_term", "applied_offset"}},
       {"fence",
        FerryFunction::kFence,
        1,
        {"accepted", "term", "history_term", "history_offset"}},
       {"promote", FerryFunction::kPromote, 1, {"accepted", "term"}},
       {"follow", FerryFunction::kFollow, 3, {"accepted", "term"}},
       {"set_lag", FerryFunction::kSetLag, 1, {"accepted"}},
       {"leave", FerryFunction::kLeave, 0, {"accepted"}}}};
  return kShapes;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::vector<FerryArgument> ParseArguments(const std::string& text) {
  static const std::regex kArgument(
      R"(\s*(?:\$(\d{1,3})|(\d+)|'([^']*)')\s*(?:::\s*\w+\s*)?(,|$))");
  std::vector<FerryArgument> arguments;
  auto position = text.cbegin();
  std::smatch match;
  while (position != text.cend()) {
    if (!std::regex_search(position, text.cend(), match, kArgument,
                           std::regex_constants::match_continuous)) {
      throw SqlError("42601", "unreadable argument of a ferry function");
    }
    FerryArgument& argument = arguments.emplace_back();
    if (match[1].matched) {
      argument.parameter = std::stoi(match[1].str());
    } else {
      argument.literal = match[2].matched ? match[2].str() : match[3].str();
    }
    position = match[0].second;
  }
  return arguments;
}

bool IsBlank(const std::string& text) {
  return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

}  // namespace

const std::vector<std::string>& FerryCall::Columns() const {
  return Shapes()[static_cast<std::size_t>(this->function)].columns;
}

int FerryCall::ParameterCount() const {
  int count = 0;
  for (const FerryArgument& argument : this->arguments) {
    count = std::max(count, argument.parameter);
  }
  return count;
}

std::vector<std::string> FerryCall::Resolve(
    const std::vector<SqlValue>& parameters) const {
  std::vector<std::string> values;
  for (const FerryArgument& argument : this->arguments) {
    if (argument.parameter == 0) {
      values.push_back(argument.literal);
      continue;
    }
    const auto index = static_cast<std::size_t>(argument.parameter) - 1;
    if (index >= parameters.size() || !parameters[index]) {
      throw SqlError("22004", "a ferry function takes no NULL");
    }
    values.push_back(*parameters[index]);
  }
  return values;
}

std::optional<FerryCall> ParseFerryCall(std::string_view sql) {
  if (sql.size() > kMaxCallBytes) return std::nullopt;
  static const std::regex kCall(
      R"(\s*select\s+(?:\*\s+from\s+)?ferry_(\w+)\s*\(([^()]*)\)\s*;?\s*)",
      std::regex::icase);
  const std::string text(sql);
  std::smatch match;
  if (!std::regex_match(text, match, kCall)) return std::nullopt;
  const std::string name = Lower(match[1].str());
  for (const FunctionShape& shape : Shapes()) {
    if (name != shape.name) continue;
    FerryCall call{shape.function, {}};
    if (!IsBlank(match[2].str())) {
      call.arguments = ParseArguments(match[2].str());
    }
    if (call.arguments.size() != shape.argument_count) {
      throw SqlError("42883", "wrong number of arguments of ferry_" + name);
    }
    return call;
  }
  throw SqlError("42883", "unknown function ferry_" + name);
}

}  // namespace lacewingferry::standin
