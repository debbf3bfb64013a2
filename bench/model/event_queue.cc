#include "bench/model/event_queue.h"

#include <algorithm>

namespace lacewingferry::model {

void EventQueue::At(std::chrono::steady_clock::time_point time,
                    std::function<void()> action) {
  this->actions.emplace(Key{std::max(time, this->now), this->next_sequence++},
                        std::move(action));
}

void EventQueue::After(std::chrono::nanoseconds delay,
                       std::function<void()> action) {
  this->At(this->now +
               std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                   delay),
           std::move(action));
}

void EventQueue::RunUntil(std::chrono::steady_clock::time_point end) {
  while (!this->actions.empty() && this->actions.begin()->first.first <= end) {
    auto node = this->actions.extract(this->actions.begin());
    this->now = node.key().first;
    node.mapped()();
  }
  this->now = std::max(this->now, end);
}

}  // namespace lacewingferry::model
