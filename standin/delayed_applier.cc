#include "standin/delayed_applier.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::standin {

using std::chrono::steady_clock;

DelayedApplier::DelayedApplier(boost::asio::io_context& context,
                               std::function<void(const LogEntry&)> apply_hook,
                               std::function<void()> applied_hook)
    : timer(context),
      apply(std::move(apply_hook)),
      applied(std::move(applied_hook)) {}

void DelayedApplier::Add(const std::vector<LogEntry>& entries) {
  const steady_clock::time_point now = steady_clock::now();
  for (const LogEntry& entry : entries) {
    this->waiting.push_back(Waiting{now + this->lag, entry});
  }
  this->ApplyUntil(now);
}

void DelayedApplier::ApplyAll() {
  this->ApplyUntil(steady_clock::time_point::max());
}

void DelayedApplier::Truncate(std::uint64_t offset) {
  while (!this->waiting.empty() &&
         this->waiting.back().entry.position.offset > offset) {
    this->waiting.pop_back();
  }
}

void DelayedApplier::ApplyUntil(steady_clock::time_point now) {
  bool any = false;
  while (!this->waiting.empty() && this->waiting.front().due <= now) {
    this->apply(this->waiting.front().entry);
    this->waiting.pop_front();
    any = true;
  }
  if (any) this->applied();
  this->Arm();
}

void DelayedApplier::Arm() {
  if (this->waiting.empty()) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_at(this->waiting.front().due);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->ApplyUntil(steady_clock::now());
  });
}

}  // namespace lacewingferry::standin
