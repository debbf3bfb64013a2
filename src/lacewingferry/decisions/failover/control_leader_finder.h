#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_

// Defines ControlLeaderFinder, with which a proxy finds the control leader.

#include <cstdint>
#include <utility>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/failover_messages.h"

namespace lacewingferry {

/** Keeps to the control replica that answers as the leader. When it stops
 * answering, tries the next replica, which answers as the leader or redirects
 * to it. */
class ControlLeaderFinder {
 public:
  /** Throws InternalError if there are no replicas. */
  explicit ControlLeaderFinder(std::vector<NodeId> replicas);

  /** The replica to which requests go that only the leader can serve. */
  const NodeId& Target() const { return this->target; }

  /** A replica answered as the leader. */
  void OnLeaderAnswer(const NodeId& from);

  /** A replica named the leader. A redirect without a leader, or with a
   * lower control term than one accepted before, is ignored. Returns whether
   * the target changed. */
  bool OnRedirect(const NodeId& from, const ControlRedirect& redirect);

  /** The target did not answer in time; switches to the next replica. */
  void OnTimeout();

 private:
  std::vector<NodeId> replicas;
  std::size_t next_replica = 0;
  std::uint64_t control_term = 0;
  NodeId target;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_
