#include "lacewingferry/adapters/yaml/proxy_settings_reader.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/daemon_process.h"
#include "lacewingferry/app/proxy_program.h"

namespace {

constexpr char kProgram[] = "ferryproxyd";

void Run(const std::string& path) {
  const auto settings = lacewingferry::ReadProxySettings(path);
  lacewingferry::RunDaemonProcess(
      settings.log, settings.node, kProgram,
      [&settings](const lacewingferry::DaemonProcess& process) {
        lacewingferry::ProxyProgram(settings, process.events, process.hybrid)
            .Run();
      });
}

}  // namespace

int main(int argc, char** argv) {
  return lacewingferry::DaemonMain(
      argc, argv,
      {kProgram, "The lacewingferry proxy: one for each entry VM.",
       [](const std::string& path) { lacewingferry::ReadProxySettings(path); },
       Run});
}
