#ifndef STANDIN_WRITE_LOCK_H_
#define STANDIN_WRITE_LOCK_H_

// Defines WriteLock, the queue of sessions that want to write.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "standin/sql_error.h"

namespace lacewingferry::standin {

/** A lock with a first-come queue that blocks no thread. Used on the thread of
 * its io_context. */
class WriteLock {
 public:
  /** Names an owner; never 0. */
  using Owner = std::uint64_t;
  /** Told without an error once the lock is held, else why it isn't. */
  using Done = std::function<void(const std::optional<SqlError>&)>;

  /** Waiting ends with SQLSTATE 55P03 after the time-out. */
  WriteLock(boost::asio::io_context& io, std::chrono::milliseconds timeout);

  /** Asks for the lock. A free lock is given within the call. */
  void Acquire(Owner owner, Done done);

  /** Gives up the lock or the place in the queue; does nothing without. */
  void Release(Owner owner);

  /** Ends all waiting with an error. */
  void CancelWaiting(const SqlError& reason);

 private:
  struct Waiter {
    Owner owner = 0;
    Done done;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void TimeOut(Owner owner);
  void GrantNext();

  boost::asio::io_context& io;
  std::chrono::milliseconds timeout;
  Owner holder = 0;
  std::deque<Waiter> waiting;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_WRITE_LOCK_H_
