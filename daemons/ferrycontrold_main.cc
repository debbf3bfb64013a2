#include <memory>

#include "lacewingferry/adapters/yaml/control_settings_reader.h"
#include "lacewingferry/app/control_disk.h"
#include "lacewingferry/app/control_program.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/daemon_process.h"
#include "lacewingferry/app/recent_events.h"

namespace {

constexpr char kProgram[] = "ferrycontrold";
/** Events kept for the time line. */
constexpr std::size_t kRecentEvents = 10000;

void Run(const std::string& path) {
  const auto settings = lacewingferry::ReadControlSettings(path);
  auto recent = std::make_shared<lacewingferry::RecentEvents>(kRecentEvents);
  lacewingferry::RunDaemonProcess(
      settings.log, settings.node, kProgram,
      [&](const lacewingferry::DaemonProcess& process) {
        lacewingferry::ControlProgram({settings, process.events, process.hybrid,
                                       [recent] { return recent->All(); }})
            .Run();
      },
      [recent](const lacewingferry::TimelineEntry& entry) {
        recent->Add(entry);
      });
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
