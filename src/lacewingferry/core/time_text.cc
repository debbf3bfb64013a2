#include "lacewingferry/core/time_text.h"

#include <charconv>
#include <cstdint>
#include <ctime>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kTimeBytes = 40;
constexpr std::size_t kFractionDigits = 6;

}  // namespace

std::string FormatTime(HybridTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const std::time_t calendar = seconds.time_since_epoch().count();
  std::tm utc{};
  gmtime_r(&calendar, &utc);
  char date[kTimeBytes] = {};
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string fraction = std::to_string((time - seconds).count());
  fraction.insert(0, kFractionDigits - fraction.size(), '0');
  return std::string(date) + "." + fraction + "Z";
}

HybridTime ParseTime(const std::string& text) {
  std::tm utc{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S.", &utc);
  std::int64_t fraction = 0;
  if (rest != nullptr) {
    std::from_chars(rest, text.data() + text.size(), fraction);
  }
  const std::chrono::seconds seconds(timegm(&utc));
  const HybridTime time(seconds + std::chrono::microseconds(fraction));
  // Only text that is written as FormatTime writes it comes back the same.
  if (rest == nullptr || FormatTime(time) != text) {
    throw UserError("'" + text +
                    "' is not a time such as 2026-12-04T10:19:17.456442Z");
  }
  return time;
}

}  // namespace lacewingferry
