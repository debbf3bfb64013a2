#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_

// Defines FollowerProgress, what a leader knows of one follower.

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingferry {

/** How far a follower is and when it was heard. */
struct FollowerProgress {
  /** The next entry to send. */
  std::uint64_t next = 1;
  /** The last entry that the follower has on its disk. */
  std::uint64_t match = 0;
  /** While set, entries up to in_flight_last wait for an answer until this
   * time; nothing further is sent but heartbeats. */
  std::optional<std::chrono::steady_clock::time_point> resend_at;
  std::uint64_t in_flight_last = 0;
  /** When the newest answer came; at first when the leader took office. */
  std::chrono::steady_clock::time_point last_heard;
  /** The start of the newest round that the follower answered; none before
   * its first answer. */
  std::optional<std::chrono::steady_clock::time_point> confirmed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_FOLLOWER_PROGRESS_H_
