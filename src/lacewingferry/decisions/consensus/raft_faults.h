#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_

// Defines RaftFaults, known mistakes that tests switch on to show that they
// are caught.

namespace lacewingferry {

/** Mistakes in the protocol. All are off outside tests. */
struct RaftFaults {
  /** Sends a vote before it is on the disk. */
  bool reply_before_sync = false;
  /** Commits an entry of an older term by counting its copies. */
  bool commit_older_terms = false;
  /** Starts an election without a pre-vote. */
  bool skip_pre_vote = false;
  /** Counts the lease from the receipt of an answer. */
  bool lease_from_receipt = false;
  /** Grants votes right after a restart, though it may have answered a leader
   * just before. */
  bool forget_leader_at_restart = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_
