#ifndef STANDIN_OPTION_VALUES_H_
#define STANDIN_OPTION_VALUES_H_

// Defines ParseDuration, which reads a duration with its unit, and
// ParseEndpoint, which reads HOST:PORT.

#include <chrono>
#include <string>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::standin {

/** Reads for example 10ms or 2s; units are ms, s and min. Throws UserError. */
std::chrono::milliseconds ParseDuration(const std::string& text);

/** Reads an IP number and a port from 0 to 65535. Throws UserError. */
Endpoint ParseEndpoint(const std::string& text);

}  // namespace lacewingferry::standin

#endif  // STANDIN_OPTION_VALUES_H_
