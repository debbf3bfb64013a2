#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_LIMITS_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_LIMITS_H_

// Defines HttpLimits, how much of a server its callers may take up.

#include <chrono>
#include <cstddef>

namespace lacewingferry {

/** Bounds on what callers may take up. */
struct HttpLimits {
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_connections = 4096;
  /** A connection without a request for this long is closed. */
  std::chrono::milliseconds idle_timeout = std::chrono::minutes(10);
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_LIMITS_H_
