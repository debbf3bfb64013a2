#include "lacewingferry/app/daemon_process.h"

#include <utility>

#include "lacewingferry/adapters/clock/system_clock.h"

namespace lacewingferry {

void RunDaemonProcess(const LogSettings& log, const NodeId& node,
                      const char* program,
                      const std::function<void(const DaemonProcess&)>& run,
                      EventObserver observe) {
  DaemonProcess process;
  process.hybrid = MakeHybridWallClock(MakeSystemClock());
  process.events = MakeEventLog(log, node, program, process.hybrid.clock,
                                std::move(observe));
  process.events.record(Event{EventCode::kProcessStarted});
  run(process);
  process.events.record(Event{EventCode::kProcessStopped});
}

}  // namespace lacewingferry
