#include "standin/write_lock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace lacewingferry::standin {

WriteLock::WriteLock(boost::asio::io_context& context,
                     std::chrono::milliseconds wait_timeout)
    : io(context), timeout(wait_timeout) {}

void WriteLock::Acquire(Owner owner, Done done) {
  if (this->holder == 0) {
    this->holder = owner;
    done(std::nullopt);
    return;
  }
  auto timer =
      std::make_unique<boost::asio::steady_timer>(this->io, this->timeout);
  timer->async_wait([this, owner](const boost::system::error_code& error) {
    if (!error) this->TimeOut(owner);
  });
  this->waiting.push_back(Waiter{owner, std::move(done), std::move(timer)});
}

void WriteLock::Release(Owner owner) {
  if (this->holder == owner) {
    this->holder = 0;
    this->GrantNext();
    return;
  }
  const auto found =
      std::find_if(this->waiting.begin(), this->waiting.end(),
                   [owner](const Waiter& w) { return w.owner == owner; });
  if (found != this->waiting.end()) this->waiting.erase(found);
}

void WriteLock::CancelWaiting(const SqlError& reason) {
  std::deque<Waiter> cancelled = std::exchange(this->waiting, {});
  for (Waiter& waiter : cancelled) {
    boost::asio::post(
        this->io, [done = std::move(waiter.done), reason] { done(reason); });
  }
}

void WriteLock::TimeOut(Owner owner) {
  const auto found =
      std::find_if(this->waiting.begin(), this->waiting.end(),
                   [owner](const Waiter& w) { return w.owner == owner; });
  if (found == this->waiting.end()) return;
  const Done done = std::move(found->done);
  this->waiting.erase(found);
  done(SqlError("55P03", "no write lock within the lock time-out"));
}

void WriteLock::GrantNext() {
  if (this->waiting.empty()) return;
  Waiter next = std::move(this->waiting.front());
  this->waiting.pop_front();
  this->holder = next.owner;
  boost::asio::post(this->io,
                    [done = std::move(next.done)] { done(std::nullopt); });
}

}  // namespace lacewingferry::standin
