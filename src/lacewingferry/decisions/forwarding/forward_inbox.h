#ifndef LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_
#define LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_

// Defines ForwardInbox, which recognises duplicates of requests that other
// proxies forward to this one.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/forward_messages.h"
#include "lacewingferry/core/outcome.h"

namespace lacewingferry {

/** What this proxy knows of a forwarded request that has just arrived. */
enum class ForwardArrival : std::uint8_t {
  /** First arrival: run it. */
  kNew,
  /** Still running: its reply is sent when it ends. */
  kRunning,
  /** Already run: send the stored outcome again. */
  kAnswered,
  /** Resent, and first sent before the period that this inbox remembers: it
   * may have run already. */
  kUnknown,
};

/**
 * Remembers the forwarded requests that arrived in the last 15 s, and the
 * outcomes of those that are not reads. The sending proxy can therefore resend
 * a request that got no reply: a write that arrives late or twice runs once.
 */
class ForwardInbox {
 public:
  /** Sets the time from which on every arrival is remembered. */
  void Start(std::chrono::steady_clock::time_point now) {
    this->started_at = now;
  }

  /** Records the arrival of a request and classifies it. */
  ForwardArrival OnArrival(std::chrono::steady_clock::time_point now,
                           const NodeId& from, const ForwardRequest& forward);

  /** Stores the outcome of a request, or removes the request if it is a read.
   */
  void OnOutcome(const NodeId& from, const ForwardRequest& forward,
                 const Outcome& outcome);

  /** The stored outcome of a request for which OnArrival returned kAnswered. */
  const Outcome& StoredOutcome(const NodeId& from,
                               std::uint64_t forward_id) const {
    return *this->entries.at({from, forward_id});
  }

  std::size_t Size() const { return this->entries.size(); }

 private:
  using Key = std::pair<NodeId, std::uint64_t>;

  void RemoveExpired(std::chrono::steady_clock::time_point now);

  std::chrono::steady_clock::time_point started_at;
  /** The outcome is empty while the request runs. */
  std::map<Key, std::optional<Outcome>> entries;
  std::deque<std::pair<std::chrono::steady_clock::time_point, Key>> arrivals;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_
