#include "lacewingferry/core/duration_text.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace lacewingferry {
namespace {

constexpr std::int64_t kMostUnits = 1000000000;

/** A unit of time as users write it. */
struct DurationUnit {
  const char* name;
  std::chrono::milliseconds length;
};

constexpr DurationUnit kUnits[] = {
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
};

}  // namespace

std::optional<std::chrono::milliseconds> ParseDuration(
    const std::string& text) {
  if (text.empty() || std::isdigit(static_cast<unsigned char>(text[0])) == 0) {
    return std::nullopt;
  }
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  if (parsed.ec != std::errc() || count > kMostUnits) {
    return std::nullopt;
  }
  const std::string unit(parsed.ptr, end);
  const auto* known =
      std::find_if(std::begin(kUnits), std::end(kUnits),
                   [&](const DurationUnit& each) { return unit == each.name; });
  if (known == std::end(kUnits)) {
    return std::nullopt;
  }
  return known->length * count;
}

std::string FormatDuration(std::chrono::milliseconds duration) {
  return std::to_string(duration.count()) + "ms";
}

}  // namespace lacewingferry
