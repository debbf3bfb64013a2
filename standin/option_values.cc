#include "standin/option_values.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <limits>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::standin {
namespace {

/** The longest duration that is taken. */
constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(24);

std::chrono::milliseconds UnitOf(const std::string& unit,
                                 const std::string& text) {
  if (unit == "ms") return std::chrono::milliseconds(1);
  if (unit == "s") return std::chrono::seconds(1);
  if (unit == "min") return std::chrono::minutes(1);
  throw UserError("\"" + text + "\" needs a unit: ms, s or min");
}

}  // namespace

std::chrono::milliseconds ParseDuration(const std::string& text) {
  std::uint32_t count = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc{}) {
    throw UserError("\"" + text + "\" isn't a duration such as 10ms");
  }
  const auto duration = count * UnitOf(std::string(stop, end), text);
  if (duration > kMaxDuration) {
    throw UserError("\"" + text + "\" is more than 24 hours");
  }
  return duration;
}

Endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  const std::string host = text.substr(0, colon);
  boost::system::error_code bad_host;
  boost::asio::ip::make_address(host, bad_host);
  if (colon == std::string::npos || bad_host) {
    throw UserError("\"" + text + "\" isn't an IP number and a port");
  }
  std::uint32_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || stop != end ||
      port > std::numeric_limits<std::uint16_t>::max()) {
    throw UserError("\"" + text + "\" has no port from 0 to 65535");
  }
  return Endpoint{host, static_cast<std::uint16_t>(port)};
}

}  // namespace lacewingferry::standin
