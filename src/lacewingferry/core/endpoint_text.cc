#include "lacewingferry/core/endpoint_text.h"

#include <charconv>

namespace lacewingferry {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint{host, port};
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  const bool bracketed = endpoint.host.find(':') != std::string::npos;
  const std::string host =
      bracketed ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

}  // namespace lacewingferry
