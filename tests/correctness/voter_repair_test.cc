#include "lacewingferry/decisions/consensus/voter_repair.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

const steady_clock::time_point kNow{seconds(1000)};

VoterStatus Member(const std::string& name, ControlRole role,
                   milliseconds silence) {
  VoterStatus status;
  status.member = {VoterId(name), NodeId("n-" + name), role};
  status.last_heard = kNow - silence;
  status.connected = silence < milliseconds(400);
  status.caught_up = status.connected;
  return status;
}

VoterStatus Voter(const std::string& name, milliseconds silence = {}) {
  return Member(name, ControlRole::kVoter, silence);
}

VoterStatus Learner(const std::string& name, milliseconds silence = {}) {
  return Member(name, ControlRole::kLearner, silence);
}

GroupStatus Group(std::vector<VoterStatus> members) {
  GroupStatus group;
  group.leader = members.front().member.voter;
  group.refusal = ChangeRefusal::kNone;
  group.members = std::move(members);
  return group;
}

/** How many more voters may fail before the quorum is lost; negative if there
 * is no quorum. */
int ToleratedFailures(const GroupStatus& group) {
  int voters = 0;
  int connected = 0;
  for (const VoterStatus& status : group.members) {
    if (status.member.role != ControlRole::kVoter) continue;
    ++voters;
    connected += status.connected;
  }
  return connected - (voters / 2 + 1);
}

void Apply(GroupStatus& group, const MembershipChange& change) {
  ControlConfiguration configuration;
  for (const VoterStatus& status : group.members) {
    configuration.members.push_back(status.member);
  }
  configuration = ApplyChange(configuration, change);
  std::vector<VoterStatus> members;
  for (const ControlMember& member : configuration.members) {
    VoterStatus status = Learner(member.voter.Value());
    for (const VoterStatus& old : group.members) {
      if (old.member.voter == member.voter) status = old;
    }
    status.member = member;
    members.push_back(status);
  }
  group.members = std::move(members);
}

constexpr seconds kLongSilence{120};

class VoterRepairTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VoterRepairTest);
  CPPUNIT_TEST(AddsBeforeItRemoves);
  CPPUNIT_TEST(ChangesNothingWithoutQuorum);
  CPPUNIT_TEST(KeepsSilentVoterWithoutSpare);
  CPPUNIT_TEST(GrowsFromOneVoter);
  CPPUNIT_TEST(ReplacesVoterThatLostItsDiskAtOnce);
  CPPUNIT_TEST(JoinerOfAnEarlierIdentityIsForgotten);
  CPPUNIT_TEST(RemovedLearnerHasToAskAgain);
  CPPUNIT_TEST(NeverLowersTheFailureTolerance);
  CPPUNIT_TEST(RefusesInvalidVoterCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AddsBeforeItRemoves() {
    VoterRepair repair{RepairSettings{}};
    GroupStatus group =
        Group({Voter("a"), Voter("b"), Voter("c", kLongSilence), Learner("d")});
    const auto first = repair.Decide(kNow, group);
    CPPUNIT_ASSERT(first && first->kind == ChangeKind::kPromote);
    CPPUNIT_ASSERT(first->voter == VoterId("d"));
    Apply(group, *first);
    const auto second = repair.Decide(kNow, group);
    CPPUNIT_ASSERT(second && second->kind == ChangeKind::kRemove);
    CPPUNIT_ASSERT(second->voter == VoterId("c"));
    Apply(group, *second);
    CPPUNIT_ASSERT(!repair.Decide(kNow, group));
  }

  void ChangesNothingWithoutQuorum() {
    VoterRepair repair{RepairSettings{}};
    repair.OnJoinRequested(kNow, NodeId("n-e"), VoterId("e"));
    CPPUNIT_ASSERT(
        !repair.Decide(kNow, Group({Voter("a"), Voter("b", kLongSilence),
                                    Voter("c", kLongSilence), Learner("d")})));
    // A second voter is lost right after the replacement of the first joined.
    CPPUNIT_ASSERT(!repair.Decide(
        kNow, Group({Voter("a"), Voter("b"), Voter("c", kLongSilence),
                     Voter("d", kLongSilence)})));
  }

  void KeepsSilentVoterWithoutSpare() {
    VoterRepair repair{RepairSettings{}};
    CPPUNIT_ASSERT(!repair.Decide(
        kNow, Group({Voter("a"), Voter("b"), Voter("c", kLongSilence)})));
  }

  void GrowsFromOneVoter() {
    VoterRepair repair{RepairSettings{}};
    for (const char* name : {"b", "c", "d", "e"}) {
      repair.OnJoinRequested(kNow, NodeId(std::string("n-") + name),
                             VoterId(name));
    }
    GroupStatus group = Group({Voter("a")});
    for (int i = 0; i < 10; ++i) {
      const auto change = repair.Decide(kNow, group);
      if (change) Apply(group, *change);
    }
    CPPUNIT_ASSERT_EQUAL(1, ToleratedFailures(group));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), group.members.size());
  }

  void ReplacesVoterThatLostItsDiskAtOnce() {
    VoterRepair repair{RepairSettings{}};
    GroupStatus group =
        Group({Voter("a"), Voter("b"), Voter("c", seconds(2)), Learner("d")});
    CPPUNIT_ASSERT(!repair.Decide(kNow, group));
    group.members[3].member.node = group.members[2].member.node;
    const auto change = repair.Decide(kNow, group);
    CPPUNIT_ASSERT(change && change->kind == ChangeKind::kPromote);
  }

  // Guards against a slot that a VM's lost identity takes from its next one.
  void JoinerOfAnEarlierIdentityIsForgotten() {
    VoterRepair repair{RepairSettings{}};
    repair.OnJoinRequested(kNow, NodeId("n-d"), VoterId("d1"));
    repair.OnJoinRequested(kNow, NodeId("n-d"), VoterId("d2"));
    const auto change =
        repair.Decide(kNow, Group({Voter("a"), Voter("b"), Voter("c")}));
    CPPUNIT_ASSERT(change && change->kind == ChangeKind::kAddLearner);
    CPPUNIT_ASSERT(change->voter == VoterId("d2"));
  }

  // Guards against a lost learner that is removed and added by turns.
  void RemovedLearnerHasToAskAgain() {
    VoterRepair repair{RepairSettings{}};
    const GroupStatus group = Group({Voter("a"), Voter("b"), Voter("c")});
    repair.OnJoinRequested(kNow, NodeId("n-d"), VoterId("d"));
    CPPUNIT_ASSERT(repair.Decide(kNow, group));
    CPPUNIT_ASSERT(!repair.Decide(kNow, group));
    repair.OnJoinRequested(kNow, NodeId("n-d"), VoterId("d"));
    CPPUNIT_ASSERT(repair.Decide(kNow, group));
  }

  void NeverLowersTheFailureTolerance() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<bool>& more_voters,
                                const std::vector<bool>& learners) {
      std::vector<VoterStatus> members{Voter("leader")};
      for (bool lost : more_voters) {
        if (members.size() == kMaxVoters) break;
        members.push_back(Voter("v" + std::to_string(members.size()),
                                lost ? kLongSilence : seconds(0)));
      }
      for (bool lost : learners) {
        members.push_back(Learner("l" + std::to_string(members.size()),
                                  lost ? kLongSilence : seconds(0)));
      }
      RepairSettings settings;
      settings.voters = 5;
      VoterRepair repair(settings);
      GroupStatus group = Group(members);
      // Each learner is removed or promoted at most once, and each voter is
      // removed at most once.
      const std::size_t limit = 2 * group.members.size() + 1;
      for (std::size_t i = 0; i < limit; ++i) {
        const int before = ToleratedFailures(group);
        const auto change = repair.Decide(kNow, group);
        if (!change) return;
        RC_ASSERT(before >= 0);
        Apply(group, *change);
        RC_ASSERT(ToleratedFailures(group) >= before ||
                  ToleratedFailures(group) >=
                      static_cast<int>(settings.voters / 2));
      }
      RC_FAIL("VoterRepair still proposes changes at the step limit");
    }));
  }

  void RefusesInvalidVoterCounts() {
    RepairSettings settings;
    settings.voters = 4;
    CPPUNIT_ASSERT_THROW(VoterRepair{settings}, UserError);
    settings.voters = 11;
    CPPUNIT_ASSERT_THROW(VoterRepair{settings}, UserError);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VoterRepairTest);

}  // namespace
}  // namespace lacewingferry
