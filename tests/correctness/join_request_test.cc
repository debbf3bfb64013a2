#include <cppunit/extensions/HelperMacros.h>

#include <iterator>

#include "tests/support/raft_groups.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::milliseconds;
using tests::AwaitLeader;
using tests::ReliableNetwork;
using tests::RequireNoViolations;

constexpr std::size_t kVoters = 5;
constexpr std::size_t kReplicas = kVoters + 1;
/** The users' catch_up_s and recovery_s of a fleet that may lose two disks. */
constexpr milliseconds kCatchUp{6000};
constexpr milliseconds kRecovery{15'000};

/** Five voters and a spare, 20 ms apart, with the times of a fleet. */
GroupOptions FleetOptions(std::uint64_t seed) {
  GroupOptions options = ReliableNetwork(1);
  options.seed = seed;
  options.voters = kVoters;
  options.repair->voters = kVoters;
  options.repair->voter_silence = milliseconds(2000);
  options.repair->learner_silence = milliseconds(3000);
  options.raft.join_retry = milliseconds(400);
  options.latency = [](std::size_t, std::size_t) { return milliseconds(20); };
  return options;
}

/** How long a VM is away: so short that the identity it lost still votes when
 * it is back, and so long that the spare has replaced it. */
constexpr milliseconds kDowntimes[] = {milliseconds(500), milliseconds(4000)};

/** The voters by the leader's log that run under the identity that votes. */
std::size_t LiveVoters(const ConsensusGroup& group) {
  const auto leader = group.Leader();
  if (!leader) return 0;
  const ControlConfiguration& log = group.Node(*leader).Configuration();
  std::size_t live = 0;
  for (std::size_t i = 0; i < group.Size(); ++i) {
    live += group.Runs(i) && log.IsVoter(group.Node(i).Self());
  }
  return live;
}

void RequireVotersAllLive(const ConsensusGroup& group) {
  CPPUNIT_ASSERT(group.Leader().has_value());
  CPPUNIT_ASSERT_EQUAL(kVoters, LiveVoters(group));
  CPPUNIT_ASSERT_EQUAL(
      kVoters, group.Node(*group.Leader()).Configuration().VoterCount());
}

void LoseDiskFor(ConsensusGroup& group, std::size_t i, milliseconds down) {
  group.LoseDisk(i);
  group.RunFor(down);
  group.Start(i);
}

/** How a replica that the leader doesn't know gets to it. */
class JoinRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JoinRequestTest);
  CPPUNIT_TEST(LostDiskIsReplacedWhereNoSeedLeads);
  CPPUNIT_TEST(DisksLostInTurnWhereNoSeedLeadsKeepTheQuorum);
  CPPUNIT_TEST(LostDiskIsReplacedWhereNoSeedIsAReplica);
  CPPUNIT_TEST(RemovedVoterFindsALeaderThatItsLogDoesntName);
  CPPUNIT_TEST(WaitingReplicaAsksTheSeedsOfReloadedSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a VM that never joins again after the loss of its disk: its
  // seeds were others than the leader, and only a leader acts on its request.
  void LostDiskIsReplacedWhereNoSeedLeads() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      for (const milliseconds down : kDowntimes) {
        ConsensusGroup group(FleetOptions(seed));
        const std::size_t leader = AwaitLeader(group);
        group.SetSeeds(Others(leader, 3));
        const std::size_t lost = (leader + 4) % kReplicas;
        LoseDiskFor(group, lost, down);
        group.RunFor(kCatchUp);
        RequireVotersAllLive(group);
        CPPUNIT_ASSERT(group.Node(leader).Configuration().Find(
                           group.Node(lost).Self()) != nullptr);
        RequireNoViolations(group);
      }
    }
  }

  // Guards against losses that add up over a day, each repaired in time as the
  // rules go, until the final one leaves no majority.
  void DisksLostInTurnWhereNoSeedLeadsKeepTheQuorum() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      ConsensusGroup group(FleetOptions(seed));
      const std::size_t leader = AwaitLeader(group);
      group.SetSeeds(Others(leader, 3));
      for (const std::size_t lost : Others(leader, 5)) {
        LoseDiskFor(group, lost, kDowntimes[lost % std::size(kDowntimes)]);
        group.RunFor(kCatchUp);
      }
      CPPUNIT_ASSERT(group.Propose(leader, "acknowledged"));
      group.RunFor(milliseconds(500));
      for (std::size_t i = 0; i < kReplicas; ++i) group.Crash(i);
      for (const std::size_t lost : Others(leader, 2)) group.LoseDisk(lost);
      group.RunFor(milliseconds(1000));
      for (std::size_t i = 0; i < kReplicas; ++i) group.Start(i);
      group.RunFor(kRecovery);
      RequireVotersAllLive(group);
      CPPUNIT_ASSERT(group.CanServeReads(*group.Leader()));
      RequireNoViolations(group);
    }
  }

  // The seeds are VMs that lost their own disks, so that none of them knows the
  // leader; the leader still sends to the identities that they had.
  void LostDiskIsReplacedWhereNoSeedIsAReplica() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      ConsensusGroup group(FleetOptions(seed));
      const std::size_t leader = AwaitLeader(group);
      const std::vector<std::size_t> lost = Others(leader, 2);
      group.SetSeeds(lost);
      for (const std::size_t i : lost) group.LoseDisk(i);
      group.RunFor(milliseconds(1000));
      for (const std::size_t i : lost) group.Start(i);
      group.RunFor(kCatchUp);
      RequireVotersAllLive(group);
      RequireNoViolations(group);
    }
  }

  // Guards against a VM that is back with its disk after it was replaced: it
  // asked for votes of the replicas that its log names, and the leader is none
  // of them any more.
  void RemovedVoterFindsALeaderThatItsLogDoesntName() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      GroupOptions options = FleetOptions(seed);
      options.voters = options.repair->voters = 3;
      options.spares = 2;
      ConsensusGroup group(options);
      const std::size_t leader = AwaitLeader(group);
      const std::size_t away = (leader + 1) % 3;
      const std::size_t stays = (leader + 2) % 3;
      group.Crash(away);
      group.RunFor(kCatchUp);
      group.Crash(leader);
      group.RunFor(kCatchUp);
      CPPUNIT_ASSERT(group.Leader().has_value());
      group.SetSeeds({leader, away, stays});
      group.Start(away);
      group.RunFor(kCatchUp);
      const ControlConfiguration& log =
          group.Node(*group.Leader()).Configuration();
      CPPUNIT_ASSERT(log.Find(group.Node(away).Self()) != nullptr);
      RequireNoViolations(group);
    }
  }

  // Guards against a VM that waits for ever with seeds that are gone, though
  // its settings were corrected meanwhile.
  void WaitingReplicaAsksTheSeedsOfReloadedSettings() {
    ConsensusGroup group(FleetOptions(1));
    const std::size_t leader = AwaitLeader(group);
    const std::size_t lost = (leader + 1) % kReplicas;
    const std::size_t gone = (leader + 2) % kReplicas;
    group.LoseDisk(lost);
    // The spare replaces it, so that the leader sends it nothing any more.
    group.RunFor(kCatchUp);
    group.Crash(gone);
    group.SetSeeds({gone});
    group.Start(lost);
    group.RunFor(kCatchUp);
    const VoterId replica = group.Node(lost).Self();
    CPPUNIT_ASSERT(!group.Node(leader).Configuration().Find(replica));
    group.ReloadSeeds(lost, {leader});
    group.RunFor(kCatchUp);
    CPPUNIT_ASSERT(group.Node(leader).Configuration().Find(replica));
    RequireNoViolations(group);
  }

 private:
  /** The next replicas after one, in the order of their numbers. */
  static std::vector<std::size_t> Others(std::size_t than, std::size_t count) {
    std::vector<std::size_t> others;
    for (std::size_t i = 1; i <= count; ++i) {
      others.push_back((than + i) % kReplicas);
    }
    return others;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JoinRequestTest);

}  // namespace
}  // namespace lacewingferry
