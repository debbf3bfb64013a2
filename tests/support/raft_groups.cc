#include "tests/support/raft_groups.h"

#include <cppunit/TestAssert.h>

#include <chrono>
#include <string>

#include "tests/support/raft_chaos.h"

namespace lacewingferry::tests {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;

GroupOptions ReliableNetwork(std::size_t spares) {
  GroupOptions options = ChaosGroupOptions(5);
  options.voters = 3;
  options.spares = spares;
  options.repair->voters = 3;
  if (spares == 0) options.repair.reset();
  options.loss = options.duplication = 0;
  options.jitter = microseconds(500);
  return options;
}

NodeId ControlNode(std::size_t i) {
  return NodeId("control-" + std::to_string(i));
}

std::size_t AwaitLeader(ConsensusGroup& group) {
  group.RunFor(milliseconds(2000));
  CPPUNIT_ASSERT(group.Leader().has_value());
  return *group.Leader();
}

void ProposeMany(ConsensusGroup& group, std::size_t leader, int count) {
  for (int i = 0; i < count; ++i) {
    CPPUNIT_ASSERT(group.Propose(leader, "c" + std::to_string(i)));
    group.RunFor(milliseconds(5));
  }
  group.RunFor(milliseconds(500));
}

void RequireNoViolations(const ConsensusGroup& group) {
  CPPUNIT_ASSERT_MESSAGE(
      group.Violations().empty() ? "" : group.Violations().front(),
      group.Violations().empty());
}

}  // namespace lacewingferry::tests
