#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_

// Defines RaftFaults, protocol faults that tests inject to prove that the
// checks detect them.

namespace lacewingferry {

/** Faults in the protocol. All are off outside tests. */
struct RaftFaults {
  /** Sends a vote before it is synced to disk. */
  bool reply_before_sync = false;
  /** Commits an entry of an older term by counting its replicas. */
  bool commit_older_terms = false;
  /** Starts an election without a pre-vote. */
  bool skip_pre_vote = false;
  /** Starts the lease when a reply is received instead of when the round was
   * sent. */
  bool lease_from_receipt = false;
  /** Grants votes right after a restart, although the replica may have
   * replied to a leader just before. */
  bool forget_leader_at_restart = false;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_FAULTS_H_
