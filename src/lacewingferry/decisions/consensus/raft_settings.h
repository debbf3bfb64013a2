#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_

// Defines RaftSettings, the timeouts and limits of a control log replica.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Timeouts and limits. All but the seeds are the same on all replicas. */
struct RaftSettings {
  /** Interval between two rounds of the leader. */
  std::chrono::milliseconds heartbeat{50};
  /** A voter grants no vote for this long after a leader's message; the lease
   * depends on this. */
  std::chrono::milliseconds election_timeout_min{250};
  /** A voter without a leader starts an election after a random time between
   * the two timeouts. A leader steps down if no quorum replied for this
   * long. */
  std::chrono::milliseconds election_timeout_max{400};
  /** The lease is this much shorter than election_timeout_min, to allow for
   * clocks that run at different rates. */
  std::chrono::milliseconds lease_margin{25};
  /** Interval between two pre-votes of a voter that got no majority, plus a
   * random time of up to one heartbeat. */
  std::chrono::milliseconds pre_vote_retry{60};
  /** Unacknowledged entries are sent again after this time. */
  std::chrono::milliseconds resend{150};
  /** An unacknowledged snapshot is sent again after this time. */
  std::chrono::milliseconds snapshot_resend{2000};
  /** Interval between two join requests of a replica that is not a voter. */
  std::chrono::milliseconds join_retry{1000};
  /** Maximum size of the entries in one append request, unless a single entry
   * is larger. */
  std::size_t max_append_bytes = 65'536;
  /** Maximum number of uncommitted entries; further proposals are refused. */
  std::uint64_t max_uncommitted_entries = 1024;
  /** Maximum number of applied entries between two snapshots. */
  std::uint64_t snapshot_entries = 1024;
  /** Maximum size of the applied entries between two snapshots, unless the
   * state is large; see SnapshotInterval. */
  std::size_t snapshot_bytes = 524'288;
  /** Maximum number of entries retained before a snapshot, for followers that
   * are slightly behind. */
  std::uint64_t retained_entries = 128;
  /** A learner at most this many entries behind may become a voter. */
  std::uint64_t caught_up_entries = 16;
  /** The nodes that a replica without a configuration sends join requests
   * to. */
  std::vector<NodeId> seeds;

  /** For this long after a round was sent, the voters that replied to it
   * elect no other leader. */
  std::chrono::milliseconds Lease() const {
    return this->election_timeout_min - this->lease_margin;
  }

  /** Maximum size of the applied entries between two snapshots, in bytes:
   * snapshot_bytes, or twice the size of the state if that is more, so that a
   * large state isn't stored for each few entries. Bounds the log on disk, and
   * what is sent to a replica without one. */
  std::size_t SnapshotInterval(std::size_t state_bytes) const {
    return std::max(this->snapshot_bytes, 2 * state_bytes);
  }
};

/** Throws UserError if the timeouts are inconsistent. */
void CheckRaftSettings(const RaftSettings& settings);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_SETTINGS_H_
