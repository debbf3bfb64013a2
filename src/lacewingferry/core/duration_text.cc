#include "lacewingferry/core/duration_text.h"

#include <charconv>
#include <cstdint>
#include <string_view>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongest = std::chrono::hours(24 * 365);

[[noreturn]] void Reject(const std::string& text) {
  throw UserError("'" + text + "' is not a duration such as 250ms, 2s or 1min");
}

milliseconds UnitOf(std::string_view unit, const std::string& text) {
  if (unit == "ms") return milliseconds(1);
  if (unit == "s") return std::chrono::seconds(1);
  if (unit == "min") return std::chrono::minutes(1);
  Reject(text);
}

}  // namespace

milliseconds ParseDuration(const std::string& text) {
  std::uint32_t count = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  if (parsed.ec != std::errc()) Reject(text);
  const milliseconds unit = UnitOf(
      std::string_view(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)),
      text);
  if (count > kLongest / unit) Reject(text);
  return count * unit;
}

std::string FormatDuration(milliseconds duration) {
  return std::to_string(duration.count()) + "ms";
}

}  // namespace lacewingferry
