#include "lacewingferry/core/time_text.h"

#include <cstdio>
#include <ctime>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kTimeBytes = 40;
constexpr int kTimeParts = 7;
constexpr int kFirstYear = 1900;
constexpr int kTimeLength = 27;

}  // namespace

std::string FormatTime(HybridTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const std::time_t calendar = seconds.time_since_epoch().count();
  std::tm utc{};
  gmtime_r(&calendar, &utc);
  char date[kTimeBytes] = {};
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string fraction = std::to_string((time - seconds).count());
  fraction.insert(0, 6 - fraction.size(), '0');
  return std::string(date) + "." + fraction + "Z";
}

HybridTime ParseTime(const std::string& text) {
  std::tm utc{};
  int microseconds = 0;
  int length = 0;
  const int parts =
      std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%6dZ%n", &utc.tm_year,
                  &utc.tm_mon, &utc.tm_mday, &utc.tm_hour, &utc.tm_min,
                  &utc.tm_sec, &microseconds, &length);
  if (parts != kTimeParts || length != kTimeLength ||
      text.size() != static_cast<std::size_t>(length)) {
    throw UserError("'" + text +
                    "' is not a time such as 2026-12-04T10:19:17.456442Z");
  }
  utc.tm_year -= kFirstYear;
  utc.tm_mon -= 1;
  const std::chrono::seconds seconds(timegm(&utc));
  return HybridTime(seconds + std::chrono::microseconds(microseconds));
}

}  // namespace lacewingferry
