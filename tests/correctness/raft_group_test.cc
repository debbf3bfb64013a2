#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/raft_chaos.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;

GroupOptions ReliableNetwork(std::size_t spares) {
  GroupOptions options = tests::ChaosGroupOptions(5);
  options.voters = 3;
  options.spares = spares;
  options.repair->voters = 3;
  if (spares == 0) options.repair.reset();
  options.loss = options.duplication = 0;
  options.jitter = microseconds(500);
  return options;
}

NodeId NodeOf(std::size_t i) { return NodeId("control-" + std::to_string(i)); }

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

class RaftGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftGroupTest);
  CPPUNIT_TEST(CommitsOnAllReplicas);
  CPPUNIT_TEST(LaggingFollowerGetsSnapshot);
  CPPUNIT_TEST(RestartOfAllReplicasRestoresNewestState);
  CPPUNIT_TEST(PartitionedLeaderStepsDown);
  CPPUNIT_TEST(VoterThatCannotReceiveDoesNotBlockElection);
  CPPUNIT_TEST(DuplicatedRejectionsAreNotMultiplied);
  CPPUNIT_TEST(FailedDiskStopsReplica);
  CPPUNIT_TEST(VoterThatLostItsDiskIsReplacedAutomatically);
  CPPUNIT_TEST(GrowsFromOneFounder);
  CPPUNIT_TEST(SecondLossAfterRepairIsRepairedToo);
  CPPUNIT_TEST(DisksLostInTurnAfterManyLargeEntriesKeepTheQuorum);
  CPPUNIT_TEST(ReplacementOfALostDiskWaitsForNoInterval);
  CPPUNIT_TEST(LogIsBoundedBySizeAndState);
  CPPUNIT_TEST(RefusesUnsafeChanges);
  CPPUNIT_TEST(TooManyWaitingProposalsAreRefused);
  CPPUNIT_TEST(FailedElectionsAreReportedOnceASecond);
  CPPUNIT_TEST(CopyToALearnerIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CommitsOnAllReplicas() {
    ConsensusGroup group(ReliableNetwork(0));
    const std::size_t leader = AwaitLeader(group);
    CPPUNIT_ASSERT(group.CanServeReads(leader));
    ProposeMany(group, leader, 20);
    for (std::size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(21), group.Node(i).CommitIndex());
      CPPUNIT_ASSERT(i == leader || !group.CanServeReads(i));
    }
    RequireNoViolations(group);
  }

  void LaggingFollowerGetsSnapshot() {
    ConsensusGroup group(ReliableNetwork(0));
    const std::size_t leader = AwaitLeader(group);
    const std::size_t lagging = (leader + 1) % 3;
    group.Crash(lagging);
    ProposeMany(group, leader, 500);
    group.Start(lagging);
    group.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(501), group.Node(lagging).CommitIndex());
    RequireNoViolations(group);
  }

  void RestartOfAllReplicasRestoresNewestState() {
    ConsensusGroup group(ReliableNetwork(0));
    ProposeMany(group, AwaitLeader(group), 250);
    const std::uint64_t before = group.Committed();
    for (std::size_t i = 0; i < 3; ++i) group.Crash(i);
    for (std::size_t i = 0; i < 3; ++i) group.Start(i);
    const std::size_t leader = AwaitLeader(group);
    CPPUNIT_ASSERT(group.Node(leader).CommitIndex() > before);
    RequireNoViolations(group);
  }

  // Without a majority no process logged a line for 21 seconds, so nobody could
  // tell why no leader was found.
  void FailedElectionsAreReportedOnceASecond() {
    GroupOptions options = ReliableNetwork(0);
    std::vector<ElectionFailure> failures;
    options.on_election_failed = [&failures](const ElectionFailure& failure) {
      failures.push_back(failure);
    };
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    failures.clear();
    group.Crash(leader);
    group.Crash((leader + 1) % 3);
    group.RunFor(milliseconds(5200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, failures.size());
    for (const ElectionFailure& failure : failures) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failure.votes);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, failure.quorum);
    }
    RequireNoViolations(group);
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
    CPPUNIT_ASSERT(copies.front().node == NodeOf(lost));
    CPPUNIT_ASSERT(copies.front().duration > milliseconds(0));
    CPPUNIT_ASSERT(copies.front().bytes > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
    CPPUNIT_ASSERT(received.front().index >= 100);
    RequireNoViolations(group);
  }

  void PartitionedLeaderStepsDown() {
    ConsensusGroup group(ReliableNetwork(0));
    const std::size_t leader = AwaitLeader(group);
    group.Isolate(leader, true);
    group.RunFor(milliseconds(230));
    CPPUNIT_ASSERT(!group.CanServeReads(leader));
    group.RunFor(milliseconds(270));
    CPPUNIT_ASSERT(!group.Node(leader).IsLeader());
    CPPUNIT_ASSERT(!group.Propose(leader, "lost"));
    group.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT(group.Leader().has_value());
    RequireNoViolations(group);
  }

  /** A voter that can send but not receive requests votes all the time. */
  void VoterThatCannotReceiveDoesNotBlockElection() {
    for (std::size_t send_only = 0; send_only < 5; ++send_only) {
      GroupOptions options = ReliableNetwork(0);
      options.voters = 5;
      ConsensusGroup group(options);
      const std::size_t leader = AwaitLeader(group);
      if (leader == send_only) continue;
      for (std::size_t i = 0; i < 5; ++i) group.Cut(i, send_only, true);
      group.RunFor(milliseconds(1000));
      group.Crash(leader);
      group.RunFor(milliseconds(1500));
      CPPUNIT_ASSERT(group.Leader() && group.CanServeReads(*group.Leader()));
      RequireNoViolations(group);
    }
  }

  /** Each message is delivered twice, and a follower far behind rejects the
   * first appends. */
  void DuplicatedRejectionsAreNotMultiplied() {
    GroupOptions options = ReliableNetwork(0);
    options.raft.snapshot_entries = 100'000;
    options.duplication = 1;
    std::uint64_t sent = 0;
    options.on_send = [&sent](const ConsensusMessage&) { ++sent; };
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    const std::size_t lagging = (leader + 1) % 3;
    group.Crash(lagging);
    ProposeMany(group, leader, 300);
    group.Start(lagging);
    sent = 0;
    group.RunFor(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(301), group.Node(lagging).CommitIndex());
    // Allows for 20 heartbeats to two followers, two replies to each, and the
    // other messages.
    CPPUNIT_ASSERT(sent < 200);
  }

  void FailedDiskStopsReplica() {
    ConsensusGroup group(ReliableNetwork(0));
    const std::size_t leader = AwaitLeader(group);
    group.Disk(leader).FailWrites();
    CPPUNIT_ASSERT(!group.Propose(leader, "lost"));
    CPPUNIT_ASSERT(group.Node(leader).Stopped());
    CPPUNIT_ASSERT(!group.CanServeReads(leader));
    const std::size_t next = AwaitLeader(group);
    CPPUNIT_ASSERT(next != leader);
    ProposeMany(group, next, 5);
    CPPUNIT_ASSERT(group.Committed() >= 6);
    RequireNoViolations(group);
  }

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

  /** Two of five voters crash one after the other, the second before the repair
   * of the first has finished. */
  void SecondLossAfterRepairIsRepairedToo() {
    GroupOptions options = ReliableNetwork(2);
    options.voters = options.repair->voters = 5;
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    group.Crash((leader + 1) % 5);
    group.RunFor(milliseconds(2200));
    group.Crash((leader + 2) % 5);
    group.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT(group.Leader() == leader && group.CanServeReads(leader));
    std::size_t voters = 0;
    const GroupStatus status = group.Node(leader).Status(group.Queue().Now());
    for (const VoterStatus& member : status.members) {
      const bool crashed = member.member.node == NodeOf((leader + 1) % 5) ||
                           member.member.node == NodeOf((leader + 2) % 5);
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
    GroupOptions options = ReliableNetwork(0);
    options.repair = RepairSettings{};
    options.raft = RaftSettings{};
    options.latency = [](std::size_t, std::size_t) { return milliseconds(20); };
    ConsensusGroup group(options);
    ProposeLarge(group, 200);
    for (int loss = 0; loss < 5; ++loss) {
      const std::size_t lost = (AwaitLeader(group) + loss) % 3;
      group.LoseDisk(lost);
      group.RunFor(milliseconds(3000));
      group.Start(lost);
      // As the users' deployments allow for: catch_up_s.
      group.RunFor(milliseconds(4000));
    }
    ProposeLarge(group, 3);
    RequireNoViolations(group);
  }

  // Guards against a quorum that still counts a lost disk seconds after the
  // replica is back: each step of the repair waited for its turn.
  void ReplacementOfALostDiskWaitsForNoInterval() {
    // A quarter of the users' catch_up_s; the rest is for the start and the
    // copy.
    constexpr milliseconds kReplacement{1000};
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

  void RefusesUnsafeChanges() {
    ConsensusGroup group(ReliableNetwork(0));
    const std::size_t leader = AwaitLeader(group);
    const std::size_t other = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    const MembershipChange remove_other{ChangeKind::kRemove,
                                        group.Node(other).Self(), NodeId()};
    const MembershipChange remove_self{ChangeKind::kRemove,
                                       group.Node(leader).Self(), NodeId()};
    RequireRefusal(group, other, remove_other, ChangeRefusal::kNotLeader);
    RequireRefusal(group, leader, remove_self, ChangeRefusal::kNotApplicable);
    const MembershipChange learner{ChangeKind::kAddLearner, VoterId("x"),
                                   NodeId("control-1")};
    CPPUNIT_ASSERT(group.ProposeChange(leader, learner).index.has_value());
    RequireRefusal(group, leader, remove_other, ChangeRefusal::kChangePending);
    group.RunFor(milliseconds(500));
    const MembershipChange promote{ChangeKind::kPromote, VoterId("x"),
                                   NodeId()};
    RequireRefusal(group, leader, promote, ChangeRefusal::kNotCaughtUp);
    group.Crash(third);
    group.RunFor(milliseconds(1000));
    RequireRefusal(group, leader, remove_other, ChangeRefusal::kNoMargin);
  }

  void TooManyWaitingProposalsAreRefused() {
    GroupOptions options = ReliableNetwork(0);
    options.raft.max_uncommitted_entries = 10;
    ConsensusGroup group(options);
    const std::size_t leader = AwaitLeader(group);
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT(group.Propose(leader, "c"));
    CPPUNIT_ASSERT(!group.Propose(leader, "c"));
    group.RunFor(milliseconds(500));
    CPPUNIT_ASSERT(group.Propose(leader, "c"));
  }

 private:
  static void RequireNoViolations(const ConsensusGroup& group) {
    CPPUNIT_ASSERT_MESSAGE(
        group.Violations().empty() ? "" : group.Violations().front(),
        group.Violations().empty());
  }

  static void RequireRefusal(ConsensusGroup& group, std::size_t at,
                             const MembershipChange& change,
                             ChangeRefusal expected) {
    const ChangeResult result = group.ProposeChange(at, change);
    CPPUNIT_ASSERT(!result.index);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                         static_cast<int>(result.refusal));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftGroupTest);

}  // namespace
}  // namespace lacewingferry
