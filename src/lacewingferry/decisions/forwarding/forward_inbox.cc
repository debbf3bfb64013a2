#include "lacewingferry/decisions/forwarding/forward_inbox.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Longer than any caller waits for a reply, so that no resend arrives after
 * its entry was removed. */
constexpr std::chrono::seconds kRetention{15};

}  // namespace

void ForwardInbox::RemoveExpired(steady_clock::time_point now) {
  while (!this->arrivals.empty() &&
         this->arrivals.front().first + kRetention <= now) {
    this->entries.erase(this->arrivals.front().second);
    this->arrivals.pop_front();
  }
}

ForwardArrival ForwardInbox::OnArrival(steady_clock::time_point now,
                                       const NodeId& from,
                                       const ForwardRequest& forward) {
  this->RemoveExpired(now);
  const Key key{from, forward.forward_id};
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    return found->second ? ForwardArrival::kAnswered : ForwardArrival::kRunning;
  }
  const bool resent = forward.since_first_sent.count() > 0;
  const auto remembered_for =
      std::min<steady_clock::duration>(now - this->started_at, kRetention);
  if (resent && forward.since_first_sent >= remembered_for) {
    return ForwardArrival::kUnknown;
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
    // A read may run again, so its rows are not kept in memory.
    this->entries.erase(found);
  } else {
    found->second = outcome;
  }
}

}  // namespace lacewingferry
