#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_

// Defines ConnectionPool, this proxy's own connections to one member.

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
#include "lacewingferry/decisions/execution/member_sign.h"
#include "lacewingferry/ports/member_port.h"

namespace lacewingferry {

/** What a ConnectionPool acts through. */
struct PoolHooks {
  MemberPort port;
  /** A number for a new connection. */
  std::function<ConnectionId()> next_connection;
  /** Told what the connections show of the member; may be empty. */
  MemberSignHook observe;
};

/**
 * Opens connections up to a limit ahead of need and knows the state of each.
 * After a failure it opens one at a time, with an exponentially growing,
 * randomized pause, until one succeeds.
 */
class ConnectionPool {
 public:
  /** The seed varies the pauses of different pools. */
  ConnectionPool(PoolHooks hooks, std::uint64_t seed);

  /** Takes the member's entry and how many connections may exist. Returns the
   * connections that were closed because the member moved. Idle connections
   * above the limit close now, others when they are given back. */
  std::vector<ConnectionId> Configure(const MemberInfo& info,
                                      std::uint32_t limit);

  /** Takes how many connections may exist besides the configured limit; the
   * caller closes those above it. */
  void SetCeiling(std::size_t most) { this->ceiling = most; }

  /** Opens what is missing and due. */
  void OpenMissing(std::chrono::steady_clock::time_point now);

  /** An idle connection; none if all are in use. */
  std::optional<ConnectionId> FindIdle() const;

  /** A connection that an open transaction holds and doesn't use now. */
  std::optional<ConnectionId> FindPinned() const;

  /** The connection that was opened last. Call with one at least. */
  ConnectionId Newest() const { return this->entries.rbegin()->first; }

  /** Sends a batch and marks the connection busy. */
  void Send(std::chrono::steady_clock::time_point now, ConnectionId id,
            const MemberBatch& batch);

  /** Gives a clean connection back; closes it above the limit. */
  void GiveBack(ConnectionId id);

  /** Keeps a connection for its transaction. */
  void Pin(ConnectionId id) { this->entries.at(id).state = State::kPinned; }

  /** Whether no batch runs on a connection of a transaction. */
  bool IsPinned(ConnectionId id) const;

  /** Closes a connection whose state is in doubt. */
  void Close(ConnectionId id);

  /** The port's events. */
  void OnOpened(std::chrono::steady_clock::time_point now, ConnectionId id);
  void OnLost(std::chrono::steady_clock::time_point now, ConnectionId id,
              ConnectionFailure failure);
  void OnCompleted(std::chrono::steady_clock::time_point now, ConnectionId id);

  /** Reports batches and attempts to connect that take long. */
  void ObserveSilence(std::chrono::steady_clock::time_point now);

  /** When OpenMissing or ObserveSilence is due next. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  /** Whether no connection serves: none is left and the last attempt to
   * connect failed, or all have been outstanding for longer than patience. */
  bool Unserving(std::chrono::steady_clock::time_point now,
                 std::chrono::nanoseconds patience) const;

  bool Owns(ConnectionId id) const { return this->entries.count(id) > 0; }
  std::size_t Size() const { return this->entries.size(); }
  /** The most connections that may exist now. */
  std::size_t Limit() const {
    return std::min<std::size_t>(this->limit, this->ceiling);
  }
  const MemberInfo& Info() const { return this->info; }

 private:
  enum class State : std::uint8_t { kOpening, kIdle, kBusy, kPinned };
  struct Entry {
    State state = State::kOpening;
    /** When the batch or the attempt to connect began. */
    std::chrono::steady_clock::time_point began;
    bool reported_silent = false;
  };

  /** Takes the place of closed connections from the limit until the member has
   * noticed. */
  void AwaitClosed(std::chrono::steady_clock::time_point now);
  static bool Outstanding(const Entry& entry);
  std::optional<ConnectionId> FindIn(State state) const;
  std::chrono::milliseconds NextPause(ConnectionFailure failure);
  void Observe(std::chrono::steady_clock::time_point now, MemberSign sign);

  PoolHooks hooks;
  std::minstd_rand random;
  MemberInfo info;
  std::uint32_t limit = 0;
  std::size_t ceiling = std::numeric_limits<std::size_t>::max();
  std::map<ConnectionId, Entry> entries;
  /** Connections that were closed since the last look, and until when those
   * before count. */
  std::size_t just_closed = 0;
  std::deque<std::chrono::steady_clock::time_point> closing;
  std::uint32_t failures = 0;
  std::chrono::steady_clock::time_point open_at;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_CONNECTION_POOL_H_
