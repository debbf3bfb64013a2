#include "lacewingferry/adapters/clock/system_clock.h"
#include "lacewingferry/adapters/log4cxx/event_log.h"
#include "lacewingferry/adapters/yaml/proxy_settings_reader.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/app/proxy_program.h"

namespace {

constexpr char kProgram[] = "ferryproxyd";

void Run(const std::string& path) {
  const auto settings = lacewingferry::ReadProxySettings(path);
  const auto hybrid =
      lacewingferry::MakeHybridWallClock(lacewingferry::MakeSystemClock());
  const auto events = lacewingferry::MakeEventLog(settings.log, settings.node,
                                                  kProgram, hybrid.clock);
  events.record({lacewingferry::EventCode::kProcessStarted});
  lacewingferry::ProxyProgram(settings, events, hybrid).Run();
  events.record({lacewingferry::EventCode::kProcessStopped});
}

}  // namespace

int main(int argc, char** argv) {
  return lacewingferry::DaemonMain(
      argc, argv,
      {kProgram, "The lacewingferry proxy: one for each entry VM.",
       [](const std::string& path) { lacewingferry::ReadProxySettings(path); },
       Run});
}
