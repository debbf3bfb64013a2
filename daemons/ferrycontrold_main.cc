#include <memory>

#include "lacewingferry/adapters/clock/system_clock.h"
#include "lacewingferry/adapters/log4cxx/event_log.h"
#include "lacewingferry/adapters/yaml/control_settings_reader.h"
#include "lacewingferry/app/control_program.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/app/recent_events.h"

namespace {

constexpr char kProgram[] = "ferrycontrold";
/** Events kept for the time line. */
constexpr std::size_t kRecentEvents = 10000;

void Run(const std::string& path) {
  const auto settings = lacewingferry::ReadControlSettings(path);
  const auto hybrid =
      lacewingferry::MakeHybridWallClock(lacewingferry::MakeSystemClock());
  auto recent = std::make_shared<lacewingferry::RecentEvents>(kRecentEvents);
  const auto events = lacewingferry::MakeEventLog(
      settings.log, settings.node, kProgram, hybrid.clock,
      [recent](const lacewingferry::TimelineEntry& entry) {
        recent->Add(entry);
      });
  events.record({lacewingferry::EventCode::kProcessStarted});
  lacewingferry::ControlProgram(
      {settings, events, hybrid, [recent] { return recent->All(); }})
      .Run();
  events.record({lacewingferry::EventCode::kProcessStopped});
}

void Found(const std::string& path) {
  lacewingferry::FoundControlLog(lacewingferry::ReadControlSettings(path));
}

}  // namespace

int main(int argc, char** argv) {
  return lacewingferry::DaemonMain(
      argc, argv,
      {kProgram,
       "The lacewingferry control process: one for each VM with a disk.",
       [](const std::string& path) {
         lacewingferry::ReadControlSettings(path);
       },
       Run, Found});
}
