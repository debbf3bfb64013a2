#ifndef STANDIN_DELAYED_APPLIER_H_
#define STANDIN_DELAYED_APPLIER_H_

// Defines DelayedApplier, which applies a replica's entries after its lag.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "standin/log_entry.h"

namespace lacewingferry::standin {

/** Holds entries back for the lag, counted from their receipt. */
class DelayedApplier {
 public:
  /** apply is called with each entry in order; applied after each run. */
  DelayedApplier(boost::asio::io_context& context,
                 std::function<void(const LogEntry&)> apply_hook,
                 std::function<void()> applied_hook);

  /** Sets the lag of entries that arrive from now on. */
  void SetLag(std::chrono::milliseconds new_lag) { this->lag = new_lag; }

  void Add(const std::vector<LogEntry>& entries);

  /** Applies everything at once. */
  void ApplyAll();

  /** Drops the waiting entries above an offset. */
  void Truncate(std::uint64_t offset);

 private:
  struct Waiting {
    std::chrono::steady_clock::time_point due;
    LogEntry entry;
  };

  void Arm();
  void ApplyUntil(std::chrono::steady_clock::time_point now);

  boost::asio::steady_timer timer;
  std::function<void(const LogEntry&)> apply;
  std::function<void()> applied;
  std::chrono::milliseconds lag{0};
  std::deque<Waiting> waiting;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_DELAYED_APPLIER_H_
