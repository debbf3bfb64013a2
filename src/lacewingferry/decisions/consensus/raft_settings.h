#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_

// Defines RaftSettings, the times and limits of a replica of the control log.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Times and limits; the same on all replicas, but for the seeds. */
struct RaftSettings {
  /** Between two rounds of the leader. */
  std::chrono::milliseconds heartbeat{50};
  /** For this long after a leader's message a voter grants no vote; the lease
   * rests on it. */
  std::chrono::milliseconds election_timeout_min{250};
  /** A voter without a leader asks for votes after a random time between the
   * two time-outs. A leader that no quorum answered for this long steps
   * down. */
  std::chrono::milliseconds election_timeout_max{400};
  /** What the lease is shorter than election_timeout_min, for clocks that run
   * at different rates. */
  std::chrono::milliseconds lease_margin{25};
  /** Between two pre-votes of a voter that got no majority; up to a heartbeat
   * is added at random. */
  std::chrono::milliseconds pre_vote_retry{60};
  /** Until entries without an answer are sent again. */
  std::chrono::milliseconds resend{150};
  /** Until a snapshot without an answer is sent again. */
  std::chrono::milliseconds snapshot_resend{2000};
  /** Between two join requests of a replica that no leader knows. */
  std::chrono::milliseconds join_retry{1000};
  /** The payload of one append, unless a single entry is larger. */
  std::size_t max_append_bytes = 65'536;
  /** Proposals that wait for a quorum; more are refused. */
  std::uint64_t max_uncommitted_entries = 1024;
  /** Applied entries between two snapshots. */
  std::uint64_t snapshot_entries = 1024;
  /** Entries kept before a snapshot for followers slightly behind. */
  std::uint64_t retained_entries = 128;
  /** A learner this many entries behind at most may become a voter. */
  std::uint64_t caught_up_entries = 16;
  /** Where a replica without a configuration asks to join. */
  std::vector<NodeId> seeds;

  /** For this long after a round was sent, its quorum elects nobody else. */
  std::chrono::milliseconds Lease() const {
    return this->election_timeout_min - this->lease_margin;
  }
};

/** Throws UserError when the times contradict each other. */
void CheckRaftSettings(const RaftSettings& settings);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_
