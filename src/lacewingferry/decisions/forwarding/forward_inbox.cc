#include "lacewingferry/decisions/forwarding/forward_inbox.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Longer than any caller waits, so that no resend comes after it. */
constexpr std::chrono::seconds kRemembered{15};

}  // namespace

void ForwardInbox::Forget(steady_clock::time_point now) {
  while (!this->arrivals.empty() &&
         this->arrivals.front().first + kRemembered <= now) {
    this->entries.erase(this->arrivals.front().second);
    this->arrivals.pop_front();
  }
}

ForwardArrival ForwardInbox::OnArrival(steady_clock::time_point now,
                                       const NodeId& from,
                                       const ForwardRequest& forward) {
  this->Forget(now);
  const Key key{from, forward.forward_id};
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    return found->second ? ForwardArrival::kAnswered : ForwardArrival::kRunning;
  }
  const bool resent = forward.since_first_sent.count() > 0;
  const auto remembers_for =
      std::min<steady_clock::duration>(now - this->began, kRemembered);
  if (resent && forward.since_first_sent >= remembers_for) {
    return ForwardArrival::kForgotten;
  }
  this->entries.emplace(key, std::nullopt);
  this->arrivals.emplace_back(now, key);
  return ForwardArrival::kNew;
}

void ForwardInbox::OnOutcome(const NodeId& from, const ForwardRequest& forward,
                             const Outcome& outcome) {
  const auto found = this->entries.find({from, forward.forward_id});
  if (found == this->entries.end()) return;
  if (forward.request.kind == RequestKind::kRead) {
    // A read may run again; its rows aren't worth the memory.
    this->entries.erase(found);
  } else {
    found->second = outcome;
  }
}

}  // namespace lacewingferry
