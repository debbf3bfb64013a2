#include "standin/log_line.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace lacewingferry::standin {

void LogLine(const std::string& event, const LogFields& fields) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["time_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count();
  line["event"] = event;
  for (const auto& [name, value] : fields) line[name] = value;
  const auto replace = nlohmann::ordered_json::error_handler_t::replace;
  std::cerr << line.dump(-1, ' ', false, replace) + "\n" << std::flush;
}

}  // namespace lacewingferry::standin
