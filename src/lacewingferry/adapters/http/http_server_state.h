#ifndef LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_

// Defines what the connections of one HTTP server share.

#include <atomic>
#include <cstddef>

namespace lacewingferry {

/** Read and written by all threads of the server. */
struct HttpServerState {
  std::atomic<std::size_t> connections{0};
  /** Requests that began to arrive and whose answers aren't written yet. */
  std::atomic<std::size_t> exchanges{0};
  std::atomic<bool> stopping{false};
};

/** Counts one exchange of a connection while it exists. */
class CountedExchange {
 public:
  explicit CountedExchange(HttpServerState& server_state)
      : state(server_state) {
    ++this->state.exchanges;
  }
  ~CountedExchange() { --this->state.exchanges; }
  CountedExchange(const CountedExchange&) = delete;
  CountedExchange& operator=(const CountedExchange&) = delete;

 private:
  HttpServerState& state;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_HTTP_SERVER_STATE_H_
