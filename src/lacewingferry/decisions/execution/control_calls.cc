#include "lacewingferry/decisions/execution/control_calls.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace lacewingferry {

using std::chrono::steady_clock;

std::optional<ControlCall> ControlCalls::Pop() {
  if (this->calls.empty()) return std::nullopt;
  ControlCall call = std::move(this->calls.front());
  this->calls.pop_front();
  return call;
}

void ControlCalls::Expire(steady_clock::time_point now) {
  const auto live = std::stable_partition(
      this->calls.begin(), this->calls.end(),
      [now](const ControlCall& call) { return call.deadline > now; });
  const std::vector<ControlCall> expired(
      std::make_move_iterator(live),
      std::make_move_iterator(this->calls.end()));
  this->calls.erase(live, this->calls.end());
  for (const ControlCall& call : expired) call.reply(std::nullopt);
}

void ControlCalls::FailAll() {
  const std::deque<ControlCall> failed = std::move(this->calls);
  this->calls.clear();
  for (const ControlCall& call : failed) call.reply(std::nullopt);
}

std::optional<steady_clock::time_point> ControlCalls::NextDeadline() const {
  std::optional<steady_clock::time_point> earliest;
  for (const ControlCall& call : this->calls) {
    if (!earliest || call.deadline < *earliest) earliest = call.deadline;
  }
  return earliest;
}

}  // namespace lacewingferry
