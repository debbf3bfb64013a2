#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_

// ConnectionPool manages this proxy's own connections to one member.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "lacewingferry/decisions/execution/member_observation.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** The port and callbacks of a ConnectionPool. */
struct PoolHooks {
  MemberPort port;
  /** Returns the identifier of a new connection. */
  std::function<ConnectionId()> next_connection;
  /** Receives observations of the member's health; may be empty. */
  MemberObservationHook observe;
};

/**
 * Opens connections up to a limit before they are needed and tracks the state
 * of each. After a failure it opens one at a time, with randomized exponential
 * backoff, until one succeeds.
 */
class ConnectionPool {
 public:
  /** The seed makes the retry delays of different pools differ. */
  ConnectionPool(PoolHooks hooks, std::uint64_t seed);

  /** Sets the member's address and the connection limit. Returns the
   * connections that were closed because the address changed. Idle connections
   * above the limit are closed now, others when they are returned. */
  std::vector<ConnectionId> Configure(const MemberInfo& info,
                                      std::uint32_t limit);

  /** Sets a second upper limit, which holds besides the configured one. The
   * caller closes the connections above it. */
  void SetSlotLimit(std::size_t max_connections) {
    this->slot_limit = max_connections;
  }

  /** Opens connections up to the limit, unless a retry delay runs. */
  void OpenMissing(std::chrono::steady_clock::time_point now);

  /** Returns an idle connection; none if all are in use. */
  std::optional<ConnectionId> FindIdle() const;

  /** Returns a connection of an open transaction on which no batch runs. */
  std::optional<ConnectionId> FindPinned() const;

  /** The connection opened last. The pool must not be empty. */
  ConnectionId Newest() const { return this->entries.rbegin()->first; }

  /** Sends a batch and marks the connection busy. */
  void Send(std::chrono::steady_clock::time_point now, ConnectionId id,
            const MemberBatch& batch);

  /** Returns a clean connection to the pool, or closes it if the pool is above
   * its limit. */
  void Return(ConnectionId id);

  /** Reserves a connection for its transaction. */
  void Pin(ConnectionId id) { this->entries.at(id).state = State::kPinned; }

  /** Whether a transaction holds the connection and no batch runs on it. */
  bool IsPinned(ConnectionId id) const;

  /** Closes a connection, for example one whose state is unknown. */
  void Close(ConnectionId id);

  /** Handle the events of the member port. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id);

  /** Reports batches and attempts to connect that exceed the threshold for an
   * unresponsive member, each once. */
  void ReportUnresponsive(std::chrono::steady_clock::time_point now);

  /** When OpenMissing or ReportUnresponsive is due next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Whether no connection is usable: none is left and the last attempt to
   * connect failed, or each has had an operation outstanding for at least the
   * timeout or is being reopened after a failure. */
  bool IsUnavailable(std::chrono::steady_clock::time_point now,
                     std::chrono::nanoseconds timeout) const;

  bool Owns(ConnectionId id) const { return this->entries.count(id) > 0; }
  std::size_t Size() const { return this->entries.size(); }
  /** The lower of the two connection limits. */
  std::size_t Limit() const {
    return std::min<std::size_t>(this->limit, this->slot_limit);
  }
  const MemberInfo& Info() const { return this->info; }

 private:
  enum class State : std::uint8_t { kOpening, kIdle, kBusy, kPinned };
  struct Entry {
    State state = State::kOpening;
    /** When the batch or the attempt to connect began. */
    std::chrono::steady_clock::time_point began;
    bool reported_unresponsive = false;
  };

  /** Counts closed connections against the limit until the member has had time
   * to notice that they are closed. */
  void CountClosing(std::chrono::steady_clock::time_point now);
  static bool Outstanding(const Entry& entry);
  std::optional<ConnectionId> FindByState(State state) const;
  std::chrono::milliseconds NextRetryDelay(ConnectionFailure failure);
  void Observe(std::chrono::steady_clock::time_point now,
               MemberObservation observation);

  PoolHooks hooks;
  std::minstd_rand random;
  MemberInfo info;
  std::uint32_t limit = 0;
  std::size_t slot_limit = std::numeric_limits<std::size_t>::max();
  std::map<ConnectionId, Entry> entries;
  /** Connections closed since the last call of CountClosing, and the times
   * until which those closed earlier count against the limit. */
  std::size_t just_closed = 0;
  std::deque<std::chrono::steady_clock::time_point> closing;
  std::uint32_t failures = 0;
  std::chrono::steady_clock::time_point next_attempt_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_
