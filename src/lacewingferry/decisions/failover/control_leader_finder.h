#ifndef LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_
#define LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_

// Defines ControlLeaderFinder, a proxy's belief about who leads control.

#include <cstdint>
#include <utility>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/messages/failover_messages.h"

namespace lacewingferry {

/** Keeps to a replica of control that answers as its leader. When it falls
 * silent, tries the next replica, which answers itself or names the leader. */
class ControlLeaderFinder {
 public:
  /** Throws InternalError without a replica. */
  explicit ControlLeaderFinder(std::vector<NodeId> replicas);

  /** Where to send what only the leader can serve. */
  const NodeId& Target() const { return this->target; }

  /** A replica answered as the leader. */
  void OnLeaderAnswer(const NodeId& from);

  /** A replica named the leader; a belief that is older than the one held is
   * ignored. Returns whether the target changed. */
  bool OnRedirect(const NodeId& from, const ControlRedirect& redirect);

  /** A message to the target got no answer in time. Moves on. */
  void OnSilence();

 private:
  std::vector<NodeId> replicas;
  std::size_t next_replica = 0;
  std::uint64_t control_term = 0;
  NodeId target;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FAILOVER_CONTROL_LEADER_FINDER_H_
