#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "bench/model/consensus_group.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "tests/support/raft_chaos.h"

namespace lacewingferry {
namespace {

using model::ConsensusGroup;
using model::GroupOptions;
using model::MemoryDisk;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

const VoterId kSelf("a");
const VoterId kB("b");
const VoterId kC("c");

/** One voter of three; the test sends the messages of the two others. */
class ScriptedVoter {
 public:
  explicit ScriptedVoter(RaftFaults switched_on, std::uint64_t seed = 1)
      : disk(seed), faults(switched_on) {
    const ControlConfiguration group{
        {{kSelf, NodeId("n-a"), ControlRole::kVoter},
         {kB, NodeId("n-b"), ControlRole::kVoter},
         {kC, NodeId("n-c"), ControlRole::kVoter}}};
    ControlLog(this->disk.Port(), MakeLogCodec()).Found(group);
    this->Start(kSelf);
  }

  void Start(const VoterId& identity) {
    RaftParts parts;
    parts.self = identity;
    parts.faults = this->faults;
    parts.storage = this->disk.Port();
    parts.codec = MakeLogCodec();
    parts.hooks.send = [this](const NodeId&, const ConsensusMessage& message) {
      this->sent.push_back(message);
    };
    parts.hooks.apply = [](const ControlEntry&) {};
    parts.hooks.restore_snapshot = [](const std::string&) {};
    parts.hooks.leadership_changed = [](const Leadership&) {};
    parts.hooks.failed = [](const std::string&) {};
    this->node = std::make_unique<RaftNode>(std::move(parts), this->now);
  }

  void AdvanceTime(milliseconds time) { this->now += time; }

  void Receive(const ConsensusMessage& message) {
    try {
      this->node->OnMessage(this->now, NodeId("n"), message);
    } catch (const model::DiskCrash&) {
      this->node.reset();
    }
  }

  /** Whether the voter grants its vote to a candidate in a term. */
  bool VotesFor(const VoterId& candidate, std::uint64_t term) {
    this->sent.clear();
    this->Receive(VoteRequest{candidate, kSelf, term, false, 100, term - 1});
    return std::any_of(this->sent.begin(), this->sent.end(),
                       [](const ConsensusMessage& message) {
                         const auto* reply = std::get_if<VoteReply>(&message);
                         return reply != nullptr && reply->granted;
                       });
  }

  void WinElection() {
    this->AdvanceTime(milliseconds(500));
    this->node->OnTick(this->now);
    const std::uint64_t term = this->node->Term() + 1;
    this->Receive(VoteReply{kB, kSelf, term, true, true});
    this->Receive(VoteReply{kB, kSelf, term, false, true});
    CPPUNIT_ASSERT(this->node->IsLeader());
  }

  MemoryDisk disk;
  std::unique_ptr<RaftNode> node;

 private:
  RaftFaults faults;
  steady_clock::time_point now{};
  std::vector<ConsensusMessage> sent;
};

/** Whether a voter that crashes while it writes a vote votes twice. */
bool VotesTwiceAfterCrash(const RaftFaults& faults) {
  bool twice = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ScriptedVoter voter(faults, seed);
    voter.AdvanceTime(milliseconds(500));
    voter.disk.CrashInWrite(1);
    const bool first = voter.VotesFor(kB, 5);
    voter.Start(kSelf);
    voter.AdvanceTime(milliseconds(500));
    twice = twice || (first && voter.VotesFor(kC, 5));
  }
  return twice;
}

/** Whether a voter that lost its disk votes twice. */
bool VotesTwiceAfterDiskLoss(bool keep_identity) {
  ScriptedVoter voter({});
  voter.AdvanceTime(milliseconds(500));
  const bool first = voter.VotesFor(kB, 5);
  CPPUNIT_ASSERT(first);
  voter.disk.Wipe();
  voter.Start(keep_identity ? kSelf : VoterId("another"));
  voter.AdvanceTime(milliseconds(500));
  return voter.VotesFor(kC, 5);
}

/** Whether a leader commits an entry of an older term by counting replicas. */
bool CommitsOlderTerm(const RaftFaults& faults) {
  ScriptedVoter voter(faults);
  voter.WinElection();
  voter.Start(kSelf);
  voter.WinElection();
  voter.Receive(AppendReply{kB, kSelf, voter.node->Term(), true, 1, 1});
  return voter.node->CommitIndex() > 0;
}

GroupOptions ReliableNetwork(const RaftFaults& faults, std::uint64_t seed) {
  GroupOptions options = tests::ChaosGroupOptions(seed);
  options.voters = 3;
  options.spares = 0;
  options.repair.reset();
  options.loss = options.duplication = 0;
  options.jitter = microseconds(500);
  options.faults = faults;
  return options;
}

/** Whether a voter that was partitioned raises the term when it returns. */
bool ReturningVoterDisrupts(const RaftFaults& faults) {
  ConsensusGroup group(ReliableNetwork(faults, 3));
  group.RunFor(milliseconds(2000));
  const std::size_t leader = group.Leader().value();
  const std::uint64_t term = group.Node(leader).Term();
  const std::size_t isolated = (leader + 1) % 3;
  group.Isolate(isolated, true);
  group.RunFor(milliseconds(5000));
  group.Isolate(isolated, false);
  group.RunFor(milliseconds(2000));
  return group.Leader() != leader || group.Node(isolated).Term() != term;
}

/** Whether a partitioned leader serves a stale read when the replies to its
 * last rounds arrive late. */
bool LateRepliesExtendLease(const RaftFaults& faults) {
  bool stale = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    GroupOptions options = ReliableNetwork(faults, seed);
    auto slow_target = std::make_shared<std::size_t>(options.voters);
    options.latency = [slow_target](std::size_t, std::size_t to) {
      return to == *slow_target ? milliseconds(300) : milliseconds(1);
    };
    ConsensusGroup group(options);
    group.RunFor(milliseconds(2000));
    const std::size_t leader = group.Leader().value();
    *slow_target = leader;
    group.RunFor(milliseconds(200));
    for (std::size_t i = 0; i < 3; ++i) group.Cut(leader, i, true);
    group.RunFor(milliseconds(2000));
    stale = stale || !group.Violations().empty();
  }
  return stale;
}

/** Whether a voter that replied to the leader and then restarts helps to elect
 * another leader during the first leader's lease. */
bool RestartBreaksLease(const RaftFaults& faults) {
  bool stale = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ConsensusGroup group(ReliableNetwork(faults, seed));
    group.RunFor(milliseconds(2000));
    const std::size_t leader = group.Leader().value();
    const std::size_t restarts = (leader + 1) % 3;
    const std::size_t candidate = (leader + 2) % 3;
    group.Cut(leader, candidate, true);
    group.Cut(candidate, leader, true);
    group.RunFor(milliseconds(1000));
    group.Isolate(leader, true);
    group.Crash(restarts);
    group.Start(restarts);
    group.RunFor(milliseconds(1000));
    stale = stale || !group.Violations().empty();
  }
  return stale;
}

class RaftFaultDetectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftFaultDetectionTest);
  CPPUNIT_TEST(VoteIsSyncedBeforeItIsSent);
  CPPUNIT_TEST(VoterThatLostItsDiskIsANewVoter);
  CPPUNIT_TEST(OlderTermIsNotCommittedByCounting);
  CPPUNIT_TEST(ReturningVoterDoesNotDisrupt);
  CPPUNIT_TEST(LeaseCountsFromSending);
  CPPUNIT_TEST(RestartedVoterHonoursLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void VoteIsSyncedBeforeItIsSent() {
    RaftFaults fault;
    fault.reply_before_sync = true;
    CPPUNIT_ASSERT(!VotesTwiceAfterCrash({}));
    CPPUNIT_ASSERT(VotesTwiceAfterCrash(fault));
  }

  void VoterThatLostItsDiskIsANewVoter() {
    CPPUNIT_ASSERT(!VotesTwiceAfterDiskLoss(false));
    CPPUNIT_ASSERT(VotesTwiceAfterDiskLoss(true));
  }

  void OlderTermIsNotCommittedByCounting() {
    RaftFaults fault;
    fault.commit_older_terms = true;
    CPPUNIT_ASSERT(!CommitsOlderTerm({}));
    CPPUNIT_ASSERT(CommitsOlderTerm(fault));
  }

  void ReturningVoterDoesNotDisrupt() {
    RaftFaults fault;
    fault.skip_pre_vote = true;
    CPPUNIT_ASSERT(!ReturningVoterDisrupts({}));
    CPPUNIT_ASSERT(ReturningVoterDisrupts(fault));
  }

  void LeaseCountsFromSending() {
    RaftFaults fault;
    fault.lease_from_receipt = true;
    CPPUNIT_ASSERT(!LateRepliesExtendLease({}));
    CPPUNIT_ASSERT(LateRepliesExtendLease(fault));
  }

  void RestartedVoterHonoursLease() {
    RaftFaults fault;
    fault.forget_leader_at_restart = true;
    CPPUNIT_ASSERT(!RestartBreaksLease({}));
    CPPUNIT_ASSERT(RestartBreaksLease(fault));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftFaultDetectionTest);

}  // namespace
}  // namespace lacewingferry
