#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/raft_groups.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::milliseconds;
using tests::AwaitLeader;
using tests::ControlNode;
using tests::ProposeMany;
using tests::ReliableNetwork;
using tests::RequireNoViolations;

/** How long a replacement may take: a quarter of the users' catch_up_s; the
 * rest is for the start and a large copy. */
constexpr milliseconds kReplacement{1000};

/** A configuration of several hundred routes. */
constexpr std::size_t kLargeEntryBytes = 60'000;

/** Has the leader commit large entries. */
void ProposeLarge(ConsensusGroup& group, int count) {
  const std::size_t leader = AwaitLeader(group);
  for (int i = 0; i < count; ++i) {
    CPPUNIT_ASSERT(group.Propose(leader, std::string(kLargeEntryBytes, 'r')));
    group.RunFor(milliseconds(60));
  }
  const std::uint64_t before = group.Committed();
  CPPUNIT_ASSERT(group.Propose(leader, "last"));
  group.RunFor(milliseconds(500));
  CPPUNIT_ASSERT(group.Committed() > before);
}

/** What becomes of control replicas whose VM or disk is lost. */
class ReplicaRepairTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaRepairTest);
  CPPUNIT_TEST(VoterThatLostItsDiskIsReplacedAutomatically);
  CPPUNIT_TEST(GrowsFromOneFounder);
  CPPUNIT_TEST(SecondLossAfterRepairIsRepairedToo);
  CPPUNIT_TEST(DisksLostInTurnAfterManyLargeEntriesKeepTheQuorum);
  CPPUNIT_TEST(ReplacementOfALostDiskWaitsForNoInterval);
  CPPUNIT_TEST(LearnerWhoseFirstMessageIsLostGetsTheLog);
  CPPUNIT_TEST(LogIsBoundedBySizeAndState);
  CPPUNIT_TEST(CopyToALearnerIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void VoterThatLostItsDiskIsReplacedAutomatically() {
    ConsensusGroup group(ReliableNetwork(1));
    const std::size_t leader = AwaitLeader(group);
    const std::size_t lost = (leader + 1) % 3;
    const VoterId old = group.Node(lost).Self();
    group.LoseDisk(lost);
    group.Start(lost);
    CPPUNIT_ASSERT(group.Node(lost).Self() != old);
    group.RunFor(milliseconds(8000));
    const ControlConfiguration& now = group.Node(leader).Configuration();
    CPPUNIT_ASSERT(now.Find(old) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), now.VoterCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), now.members.size());
    RequireNoViolations(group);
  }

  void GrowsFromOneFounder() {
    GroupOptions options = ReliableNetwork(3);
    options.voters = 1;
    ConsensusGroup group(options);
    group.RunFor(milliseconds(15'000));
    const std::size_t leader = AwaitLeader(group);
    const ControlConfiguration& now = group.Node(leader).Configuration();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), now.VoterCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), now.members.size());
    RequireNoViolations(group);
  }

  /** Two of five voters crash one after the other, the second when the
   * replacement of the first votes and the first isn't removed yet. */
  void SecondLossAfterRepairIsRepairedToo() {
    GroupOptions options = ReliableNetwork(2);
    options.voters = options.repair->voters = 5;
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    group.Crash((leader + 1) % 5);
    const auto voters_now = [&group, leader] {
      return group.Node(leader).Configuration().VoterCount();
    };
    for (int i = 0; i < 3000 && voters_now() == 5; ++i) {
      group.RunFor(milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), voters_now());
    group.Crash((leader + 2) % 5);
    group.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT(group.Leader() == leader && group.CanServeReads(leader));
    std::size_t voters = 0;
    const GroupStatus status = group.Node(leader).Status(group.Queue().Now());
    for (const VoterStatus& member : status.members) {
      const bool crashed =
          member.member.node == ControlNode((leader + 1) % 5) ||
          member.member.node == ControlNode((leader + 2) % 5);
      CPPUNIT_ASSERT(!crashed);
      voters += member.member.role == ControlRole::kVoter;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), voters);
    RequireNoViolations(group);
  }

  // Guards against a quorum that is lost for good when two disks are lost one
  // after the other: the copy of hundreds of large entries outlasted the time
  // in which a replaced voter has to be back.
  void DisksLostInTurnAfterManyLargeEntriesKeepTheQuorum() {
    for (const int changes : {200, 400}) {
      GroupOptions options = ReliableNetwork(0);
      options.repair = RepairSettings{};
      options.raft = RaftSettings{};
      options.latency = [](std::size_t, std::size_t) {
        return milliseconds(20);
      };
      ConsensusGroup group(options);
      ProposeLarge(group, changes);
      for (int loss = 0; loss < 5; ++loss) {
        CPPUNIT_ASSERT(group.Leader().has_value());
        const std::size_t lost = (*group.Leader() + loss) % 3;
        group.LoseDisk(lost);
        group.RunFor(milliseconds(3000));
        group.Start(lost);
        // As the users' deployments allow for: catch_up_s.
        group.RunFor(milliseconds(4000));
      }
      ProposeLarge(group, 3);
      RequireNoViolations(group);
    }
  }

  // Guards against a quorum that still counts a lost disk seconds after the
  // replica is back: each step of the repair waited for its turn.
  void ReplacementOfALostDiskWaitsForNoInterval() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      GroupOptions options = ReliableNetwork(0);
      options.seed = seed;
      options.repair = RepairSettings{};
      options.latency = [](std::size_t, std::size_t) {
        return milliseconds(20);
      };
      ConsensusGroup group(options);
      const std::size_t lost = (AwaitLeader(group) + 1) % 3;
      const VoterId old = group.Node(lost).Self();
      group.LoseDisk(lost);
      group.RunFor(milliseconds(3000));
      group.Start(lost);
      group.RunFor(kReplacement);
      const ControlConfiguration& now =
          group.Node(*group.Leader()).Configuration();
      CPPUNIT_ASSERT(now.IsVoter(group.Node(lost).Self()));
      CPPUNIT_ASSERT(now.Find(old) == nullptr);
      RequireNoViolations(group);
    }
  }

  // Guards against a replacement that gets nothing until the next change: the
  // first message to it was lost, and heartbeats didn't find out what it lacks.
  void LearnerWhoseFirstMessageIsLostGetsTheLog() {
    GroupOptions options = ReliableNetwork(0);
    options.repair = RepairSettings{};
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    const std::size_t lost = (leader + 1) % 3;
    const VoterId old = group.Node(lost).Self();
    group.LoseDisk(lost);
    group.RunFor(milliseconds(3000));
    group.Cut(leader, lost, true);
    group.Start(lost);
    group.RunFor(milliseconds(300));
    const VoterId replacement = group.Node(lost).Self();
    CPPUNIT_ASSERT(group.Node(leader).Configuration().Find(replacement));
    group.Cut(leader, lost, false);
    group.RunFor(kReplacement);
    const ControlConfiguration& now = group.Node(leader).Configuration();
    CPPUNIT_ASSERT(now.IsVoter(replacement));
    CPPUNIT_ASSERT(now.Find(old) == nullptr);
    RequireNoViolations(group);
  }

  // Guards against a log that grows with each change of a large configuration
  // until a start needs more memory than the process may use.
  void LogIsBoundedBySizeAndState() {
    for (const std::size_t state_bytes : {100UL, 1'000'000UL}) {
      GroupOptions options = ReliableNetwork(0);
      options.raft = RaftSettings{};
      options.state_padding = state_bytes;
      ConsensusGroup group(options);
      const std::size_t bound =
          options.raft.SnapshotInterval(state_bytes) * 3 / 2 + state_bytes +
          4 * kLargeEntryBytes;
      for (int i = 0; i < 30; ++i) {
        ProposeLarge(group, 10);
        for (std::size_t disk = 0; disk < group.Size(); ++disk) {
          CPPUNIT_ASSERT(group.Disk(disk).Bytes() <= bound);
        }
      }
      RequireNoViolations(group);
    }
  }

  // The logs could not tell a long copy from a repair that waited for its turn.
  void CopyToALearnerIsReported() {
    GroupOptions options = ReliableNetwork(1);
    std::vector<LearnerCopy> copies;
    std::vector<StoredSnapshot> received;
    options.on_learner_caught_up = [&copies](const LearnerCopy& copy) {
      copies.push_back(copy);
    };
    options.on_snapshot_stored = [&received](const StoredSnapshot& stored) {
      if (stored.received) received.push_back(stored);
    };
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    ProposeMany(group, leader, 150);
    copies.clear();
    const std::size_t lost = (leader + 1) % 3;
    group.LoseDisk(lost);
    group.Start(lost);
    group.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copies.size());
    CPPUNIT_ASSERT(copies.front().learner == group.Node(lost).Self());
    CPPUNIT_ASSERT(copies.front().node == ControlNode(lost));
    CPPUNIT_ASSERT(copies.front().duration > milliseconds(0));
    CPPUNIT_ASSERT(copies.front().bytes > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
    CPPUNIT_ASSERT(received.front().index >= 100);
    RequireNoViolations(group);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaRepairTest);

}  // namespace
}  // namespace lacewingferry
