#include "lacewingferry/adapters/log4cxx/event_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <ctime>
#include <exception>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kTimeBytes = 40;

/** A logger of its own hierarchy, so that logs of one process don't mix. */
struct Log {
  log4cxx::spi::LoggerRepositoryPtr hierarchy;
  log4cxx::LoggerPtr logger;
  std::string node;
  std::string program;
  ClockPort clock;
};

const char* LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

log4cxx::LevelPtr LibraryLevel(const std::string& name) {
  if (name == "debug") {
    return log4cxx::Level::getDebug();
  }
  if (name == "info") {
    return log4cxx::Level::getInfo();
  }
  if (name == "warning") {
    return log4cxx::Level::getWarn();
  }
  return log4cxx::Level::getError();
}

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto since_epoch =
      std::chrono::floor<std::chrono::microseconds>(time.time_since_epoch());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
  const std::time_t calendar = seconds.count();
  std::tm utc{};
  gmtime_r(&calendar, &utc);
  char date[kTimeBytes] = {};
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string fraction = std::to_string((since_epoch - seconds).count());
  fraction.insert(0, 6 - fraction.size(), '0');
  return std::string(date) + "." + fraction + "Z";
}

std::string FormatEvent(const Log& log, const Event& event) {
  nlohmann::ordered_json fields = nlohmann::ordered_json::object();
  for (const auto& [name, value] : event.fields) {
    fields[name] = value;
  }
  nlohmann::ordered_json line;
  line["time"] = FormatTime(log.clock.wall_now());
  line["level"] = LevelName(event.level);
  line["event"] = static_cast<unsigned>(event.code);
  line["name"] = EventName(event.code);
  line["node"] = log.node;
  line["program"] = log.program;
  line["fields"] = std::move(fields);
  return line.dump(-1, ' ', true,
                   nlohmann::ordered_json::error_handler_t::replace);
}

log4cxx::AppenderPtr MakeAppender(const LogSettings& settings) {
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  if (settings.file.empty()) {
    return std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
  }
  if (!std::ofstream(settings.file, std::ios::app)) {
    throw UserError("the log file '" + settings.file + "' can't be opened");
  }
  return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
}

void Record(const Log& log, const Event& event) noexcept {
  try {
    const log4cxx::LevelPtr level = LibraryLevel(LevelName(event.level));
    if (log.logger->isEnabledFor(level)) {
      log.logger->forcedLog(level, FormatEvent(log, event));
    }
  } catch (const std::exception&) {
    // A log that can't be written must not stop the process.
  }
}

}  // namespace

EventPort MakeEventLog(const LogSettings& settings, NodeId node,
                       const char* program, ClockPort clock) {
  auto log = std::make_shared<Log>();
  log->hierarchy = log4cxx::Hierarchy::create();
  log->logger = log->hierarchy->getLogger(LOG4CXX_STR("lacewingferry"));
  log->logger->addAppender(MakeAppender(settings));
  log->logger->setLevel(LibraryLevel(settings.level));
  log->hierarchy->setConfigured(true);
  log->node = node.Value();
  log->program = program;
  log->clock = std::move(clock);
  return EventPort{[log](const Event& event) { Record(*log, event); }};
}

}  // namespace lacewingferry
