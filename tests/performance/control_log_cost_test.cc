#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "tests/support/raft_chaos.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** A change of primary must finish within 10 s; the time without a control
 * leader may take a tenth of it. */
constexpr milliseconds kMaxLeaderGap{1000};
/** Limit of the control traffic per node. */
constexpr std::uint64_t kBytesPerSecondBound = 3000;
constexpr std::uint64_t kGapSeeds = 200;
constexpr std::size_t kGroupSize = 9;

GroupOptions MultiRegionOptions(std::size_t voters, std::uint64_t seed) {
  GroupOptions options = tests::ChaosGroupOptions(seed);
  options.voters = voters;
  options.spares = 0;
  options.repair.reset();
  options.loss = options.duplication = 0;
  options.jitter = microseconds(200);
  options.latency = [](std::size_t, std::size_t) { return milliseconds(20); };
  return options;
}

std::size_t AwaitLeader(ConsensusGroup& group) {
  group.RunFor(milliseconds(3000));
  CPPUNIT_ASSERT(group.Leader().has_value());
  return *group.Leader();
}

class ControlLogCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlLogCostTest);
  CPPUNIT_TEST(GapAfterLeaderCrashStaysInBound);
  CPPUNIT_TEST(IdleFollowerTrafficStaysInBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GapAfterLeaderCrashStaysInBound() {
    for (const std::size_t voters : {3, 5, 9}) {
      for (std::uint64_t seed = 1; seed <= kGapSeeds; ++seed) {
        ConsensusGroup group(MultiRegionOptions(voters, seed));
        group.Crash(AwaitLeader(group));
        group.RunFor(kMaxLeaderGap);
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(seed),
            group.Leader() && group.CanServeReads(*group.Leader()));
      }
    }
  }

  void IdleFollowerTrafficStaysInBound() {
    std::uint64_t bytes = 0;
    GroupOptions options = MultiRegionOptions(kGroupSize, 1);
    options.on_send = [&bytes](const ConsensusMessage& message) {
      PeerMessage peer{NodeId("control-1"), "tcp://10.0.0.1:7400", {}};
      std::visit([&peer](const auto& body) { peer.body = body; }, message);
      bytes += EncodePeerMessage(peer).size();
    };
    ConsensusGroup group(options);
    AwaitLeader(group);
    bytes = 0;
    group.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT(bytes / 10 / (kGroupSize - 1) <= kBytesPerSecondBound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlLogCostTest);

}  // namespace
}  // namespace lacewingferry
