#ifndef LACEWINGFERRY_PORTS_EVENT_PORT_H_
#define LACEWINGFERRY_PORTS_EVENT_PORT_H_

// Defines the port to the log and the time line.

#include <functional>

#include "lacewingferry/core/events.h"

namespace lacewingferry {

/** Records an event. May be called from any thread; never blocks on I/O for
 * long and never throws. */
struct EventPort {
  std::function<void(const Event&)> record;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_EVENT_PORT_H_
