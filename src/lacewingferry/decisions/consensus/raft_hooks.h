#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_

// Defines RaftHooks, the effects of a replica of the control log.

#include <cstdint>
#include <functional>
#include <string>

#include "lacewingferry/core/messages/consensus_messages.h"

namespace lacewingferry {

/** Who leads, as far as a replica knows. */
struct Leadership {
  std::uint64_t term = 0;
  /** Empty while no leader is known. */
  VoterId leader;
  NodeId node;
  /** Whether this replica leads. It serves only once CanServeReads holds. */
  bool self = false;
};

/** The effects of a replica, all on its own thread. A hook must not call the
 * replica; it may post a call for later. */
struct RaftHooks {
  /** Sends a message; it may be lost, late, doubled or overtaken. */
  std::function<void(const NodeId&, const ConsensusMessage&)> send;
  /** Applies the committed entries of each kind in order, each one once
   * between a restore and the end of the process. */
  std::function<void(const ControlEntry&)> apply;
  /** The state after the last applied entry. */
  std::function<std::string()> take_snapshot;
  /** Replaces the state by one that take_snapshot returned; an empty text is
   * the state before the first entry. */
  std::function<void(const std::string&)> restore_snapshot;
  std::function<void(const Leadership&)> leadership_changed;
  /** On the leader: a replica outside the configuration asks to join. */
  std::function<void(const NodeId&, const VoterId&)> join_requested;
  /** The disk failed; the replica takes no further part. */
  std::function<void(const std::string& reason)> failed;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_RAFT_HOOKS_H_
