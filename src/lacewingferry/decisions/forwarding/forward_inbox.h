#ifndef LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_
#define LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_

// Defines ForwardInbox, which recognises requests of other proxies that come
// more than once.

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

/** What is to be done with a request of another proxy. */
enum class ForwardArrival : std::uint8_t {
  /** It came for the first time: run it. */
  kNew,
  /** It runs: its reply will come. */
  kRunning,
  /** It ran: send the stored outcome again. */
  kAnswered,
  /** It may have run before this inbox began to remember. */
  kForgotten,
};

/**
 * Remembers the requests that arrived in the last 15 s, and the outcomes of
 * those that aren't reads. A message that was lost may therefore be sent again
 * and one that comes late or doubled runs nothing twice.
 */
class ForwardInbox {
 public:
  /** Takes the time from which on every arrival is remembered. */
  void Begin(std::chrono::steady_clock::time_point now) { this->began = now; }

  /** Takes a request that arrived. */
  ForwardArrival OnArrival(std::chrono::steady_clock::time_point now,
                           const NodeId& from, const ForwardRequest& forward);

  /** Takes the outcome of a request. */
  void OnOutcome(const NodeId& from, const ForwardRequest& forward,
                 const Outcome& outcome);

  /** The stored outcome of a request that was answered. */
  const Outcome& StoredOutcome(const NodeId& from,
                               std::uint64_t forward_id) const {
    return *this->entries.at({from, forward_id});
  }

  std::size_t Size() const { return this->entries.size(); }

 private:
  using Key = std::pair<NodeId, std::uint64_t>;

  void Forget(std::chrono::steady_clock::time_point now);

  std::chrono::steady_clock::time_point began;
  /** No outcome while the request runs. */
  std::map<Key, std::optional<Outcome>> entries;
  std::deque<std::pair<std::chrono::steady_clock::time_point, Key>> arrivals;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_INBOX_H_
