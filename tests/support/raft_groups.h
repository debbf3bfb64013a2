#ifndef LACEWINGFERRY_TESTS_SUPPORT_RAFT_GROUPS_H_
#define LACEWINGFERRY_TESTS_SUPPORT_RAFT_GROUPS_H_

// Defines groups of control log replicas on a network without faults, and what
// tests do with them.

#include <cstddef>

#include "bench/model/consensus_group.h"

namespace lacewingferry::tests {

/** Three voters, and spares with which the leader replaces lost voters; nothing
 * is replaced without a spare. */
model::GroupOptions ReliableNetwork(std::size_t spares);

/** The name of a group's replica. */
NodeId ControlNode(std::size_t i);

/** Lets the group run for 2 s and returns its leader. Fails without one. */
std::size_t AwaitLeader(model::ConsensusGroup& group);

/** Proposes small commands one after the other and lets them commit. */
void ProposeMany(model::ConsensusGroup& group, std::size_t leader, int count);

/** Fails with the first broken promise, if there is one. */
void RequireNoViolations(const model::ConsensusGroup& group);

}  // namespace lacewingferry::tests

#endif  // LACEWINGFERRY_TESTS_SUPPORT_RAFT_GROUPS_H_
