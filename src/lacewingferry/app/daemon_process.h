#ifndef LACEWINGFERRY_APP_DAEMON_PROCESS_H_
#define LACEWINGFERRY_APP_DAEMON_PROCESS_H_

// Defines RunDaemonProcess, the clock and the log that every daemon runs with.

#include <functional>

#include "lacewingferry/adapters/log4cxx/event_log.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a daemon's program is given. */
struct DaemonProcess {
  HybridWallClock hybrid;
  EventPort events;
};

/** Opens a process's log and runs its program, with a line for the beginning
 * and one for the planned end. Throws UserError if the log can't be opened, and
 * what the program throws. */
void RunDaemonProcess(const LogSettings& log, const NodeId& node,
                      const char* program,
                      const std::function<void(const DaemonProcess&)>& run,
                      EventObserver observe = {});

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_DAEMON_PROCESS_H_
