#ifndef LACEWINGFERRY_ADAPTERS_LOG4CXX_EVENT_LOG_H_
#define LACEWINGFERRY_ADAPTERS_LOG4CXX_EVENT_LOG_H_

// Defines MakeEventLog, which writes events through log4cxx.

#include <functional>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/core/timeline_entry.h"
#include "lacewingferry/ports/clock.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Takes each event that was written, with its time. Called on the thread
 * that recorded it; must not throw. */
using EventObserver = std::function<void(const TimelineEntry&)>;

/** Opens the log of a process: one JSON object a line with time (UTC, RFC 3339
 * with microseconds), level, event (number), name, node, program and fields.
 * Writes to standard error or appends to a file. Throws UserError if the file
 * can't be opened. Any thread may record; the returned port never throws. */
EventPort MakeEventLog(const LogSettings& settings, NodeId node,
                       const char* program, ClockPort clock,
                       EventObserver observe = {});

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_LOG4CXX_EVENT_LOG_H_
