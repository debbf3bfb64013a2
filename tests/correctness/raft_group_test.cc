#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/raft_groups.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::milliseconds;
using tests::AwaitLeader;
using tests::ProposeMany;
using tests::ReliableNetwork;
using tests::RequireNoViolations;

class RaftGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftGroupTest);
  CPPUNIT_TEST(CommitsOnAllReplicas);
  CPPUNIT_TEST(LaggingFollowerGetsSnapshot);
  CPPUNIT_TEST(RestartOfAllReplicasRestoresNewestState);
  CPPUNIT_TEST(PartitionedLeaderStepsDown);
  CPPUNIT_TEST(VoterThatCannotReceiveDoesNotBlockElection);
  CPPUNIT_TEST(DuplicatedRejectionsAreNotMultiplied);
  CPPUNIT_TEST(FailedDiskStopsReplica);
  CPPUNIT_TEST(RefusesUnsafeChanges);
  CPPUNIT_TEST(TooManyWaitingProposalsAreRefused);
  CPPUNIT_TEST(FailedElectionsAreReportedOnceASecond);
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
