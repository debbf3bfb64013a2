#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_

// Defines what the connections of one HTTP server share.

#include <atomic>
#include <cstddef>

namespace lacewingferry {

/** Read and written by all threads of the server. */
struct HttpServerState {
  std::atomic<std::size_t> connections{0};
  std::atomic<bool> stopping{false};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_
