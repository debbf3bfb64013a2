#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_

// Defines FollowerProgress, the replication state of one follower.

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingferry {

/** What the leader knows about one follower. */
struct FollowerProgress {
  /** Index of the next entry to send. */
  std::uint64_t next = 1;
  /** Index of the last entry known to be on the follower's disk. */
  std::uint64_t match = 0;
  /** If set, entries up to in_flight_last are unacknowledged; until this time
   * the leader sends the follower only heartbeats. */
  std::optional<std::chrono::steady_clock::time_point> resend_at;
  std::uint64_t in_flight_last = 0;
  /** When the leader began to track this follower. */
  std::chrono::steady_clock::time_point tracked_since;
  /** Bytes of the entries and snapshots sent since then. */
  std::uint64_t sent_bytes = 0;
  /** Whether the follower was caught up once. */
  bool caught_up = false;
  /** When the newest reply arrived; before the first one, when the leader
   * began to track this follower. */
  std::chrono::steady_clock::time_point last_heard;
  /** The start of the newest round that the follower replied to; none before
   * its first reply. */
  std::optional<std::chrono::steady_clock::time_point> confirmed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_
