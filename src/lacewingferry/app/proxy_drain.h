#ifndef LACEWINGFERRY_APP_PROXY_DRAIN_H_
#define LACEWINGFERRY_APP_PROXY_DRAIN_H_

// Defines ProxyDrain, a planned stop's wait until nothing is under way.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "lacewingferry/app/traffic_thread.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What the wait looks at, and what follows it. */
struct ProxyDrainHooks {
  /** The requests whose answers aren't written yet. */
  std::function<std::size_t()> exchanges;
  /** Nothing is under way, or the time is over. */
  std::function<void()> done;
  std::function<std::chrono::steady_clock::time_point()> now;
  EventPort events;
};

/** Belongs to the control thread. A traffic thread that doesn't say what it has
 * left can't be ended either, so the process then ends without it. */
class ProxyDrain {
 public:
  /** The threads must outlive the wait. */
  ProxyDrain(boost::asio::io_context& control_context,
             const std::vector<std::unique_ptr<TrafficThread>>& traffic_threads,
             std::chrono::milliseconds drain_limit,
             ProxyDrainHooks drain_hooks);

  void Begin();

 private:
  void ArmLimit();
  void Check();
  void OnCounted();

  boost::asio::io_context& control;
  const std::vector<std::unique_ptr<TrafficThread>>& threads;
  std::chrono::milliseconds limit;
  ProxyDrainHooks hooks;
  boost::asio::steady_timer check_timer;
  boost::asio::steady_timer limit_timer;
  std::chrono::steady_clock::time_point began;
  std::size_t counted = 0;
  std::size_t unfinished = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_PROXY_DRAIN_H_
