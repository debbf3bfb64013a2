#ifndef LACEWINGFERRY_CORE_ENDPOINT_TEXT_H_
#define LACEWINGFERRY_CORE_ENDPOINT_TEXT_H_

// Defines how users write an address: IP:PORT, an IPv6 number in brackets.

#include <optional>
#include <string>

#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Reads an address with a port from 1 to 65535. Whether the host is an IP
 * number isn't looked at. Returns nothing for other texts. */
std::optional<Endpoint> ParseEndpoint(const std::string& text);

/** Writes an address as ParseEndpoint reads it. */
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_ENDPOINT_TEXT_H_
