#include "lacewingferry/adapters/log4cxx/event_log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/adapters/log4cxx/bounded_output.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

/** A line of two such fields in their longest spelling is written whole. */
constexpr std::size_t kMostFieldBytes = 256;

/** Writes to standard output without waiting for its reader. */
class BoundedAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit BoundedAppender(const ClockPort& clock)
      : output(STDOUT_FILENO, OutputLimits(), clock.now) {}

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    std::string line;
    log4cxx::helpers::Transcoder::encode(event->getMessage(), line);
    const bool urgent =
        event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    this->output.Write(line, urgent);
  }
  void close() override {}
  bool requiresLayout() const override { return false; }

 private:
  BoundedOutput output;
};

/** A logger of its own hierarchy, so that logs of one process don't mix. */
struct Log {
  log4cxx::spi::LoggerRepositoryPtr hierarchy;
  log4cxx::LoggerPtr logger;
  NodeId node;
  std::string program;
  ClockPort clock;
  EventObserver observe;
};

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

/** A field's text, cut where it is long: a line that is too long for the output
 * is cut there, and can't be read any more. */
std::string Shortened(const std::string& text) {
  if (text.size() <= kMostFieldBytes) return text;
  return text.substr(0, kMostFieldBytes) + "...";
}

TimelineEntry Stamp(const Log& log, const Event& event) {
  TimelineEntry entry;
  entry.time = std::chrono::time_point_cast<std::chrono::microseconds>(
      log.clock.wall_now());
  entry.node = log.node;
  entry.program = log.program;
  entry.level = event.level;
  entry.number = static_cast<std::uint16_t>(event.code);
  entry.name = EventName(event.code);
  for (const auto& [name, value] : event.fields) {
    entry.fields.emplace_back(name, Shortened(value));
  }
  return entry;
}

/** One line of ASCII: log4cxx would change other bytes by the locale. */
std::string FormatLine(const TimelineEntry& entry) {
  return EventToJson(entry).dump(
      -1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
}

log4cxx::AppenderPtr MakeAppender(const LogSettings& settings,
                                  const ClockPort& clock) {
  if (settings.standard_output) return std::make_shared<BoundedAppender>(clock);
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
      const TimelineEntry entry = Stamp(log, event);
      log.logger->forcedLog(level, FormatLine(entry));
      log.observe(entry);
    }
  } catch (const std::exception&) {
    // A log that can't be written must not stop the process.
  }
}

}  // namespace

EventPort MakeEventLog(const LogSettings& settings, NodeId node,
                       const char* program, ClockPort clock,
                       EventObserver observe) {
  auto log = std::make_shared<Log>();
  log->hierarchy = log4cxx::Hierarchy::create();
  log->logger = log->hierarchy->getLogger(LOG4CXX_STR("lacewingferry"));
  log->logger->addAppender(MakeAppender(settings, clock));
  log->logger->setLevel(LibraryLevel(settings.level));
  log->hierarchy->setConfigured(true);
  log->node = std::move(node);
  log->program = program;
  log->clock = std::move(clock);
  log->observe = observe ? std::move(observe) : [](const TimelineEntry&) {};
  return EventPort{[log](const Event& event) { Record(*log, event); }};
}

}  // namespace lacewingferry
