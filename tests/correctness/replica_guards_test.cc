#include "lacewingferry/decisions/choice/replica_guards.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kPrimary = 0;
constexpr std::size_t kReplica = 1;
constexpr std::size_t kPeer = 2;

class ReplicaGuardsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaGuardsTest);
  CPPUNIT_TEST(ThePrimaryIsNeverPassedOver);
  CPPUNIT_TEST(AReplicaMuchSlowerThanItsPeerIsPassedOver);
  CPPUNIT_TEST(ReplicasThatAreAllSlowStay);
  CPPUNIT_TEST(RefusalsUnderLoadOpenNothing);
  CPPUNIT_TEST(AReplicaAddedLaterStartsSlowly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->guards.Rebuild(this->now, &this->view); }

  void ThePrimaryIsNeverPassedOver() {
    this->RecordOutcomes(kPrimary, NotRun{RefusalCode::kMemberUnreachable, ""},
                         20);
    CPPUNIT_ASSERT(!this->PassedOver(kPrimary));
  }

  void AReplicaMuchSlowerThanItsPeerIsPassedOver() {
    this->RecordOutcomes(kPeer, AnswerIn(milliseconds(5)), 5);
    this->RecordOutcomes(kReplica, AnswerIn(milliseconds(100)), 4);
    CPPUNIT_ASSERT(!this->PassedOver(kReplica));
    this->RecordOutcomes(kReplica, AnswerIn(milliseconds(100)), 1);
    CPPUNIT_ASSERT(this->PassedOver(kReplica));
  }

  void ReplicasThatAreAllSlowStay() {
    this->RecordOutcomes(kPeer, AnswerIn(milliseconds(80)), 20);
    this->RecordOutcomes(kReplica, AnswerIn(milliseconds(100)), 20);
    CPPUNIT_ASSERT(!this->PassedOver(kReplica));
    CPPUNIT_ASSERT(!this->PassedOver(kPeer));
  }

  void RefusalsUnderLoadOpenNothing() {
    this->RecordOutcomes(kReplica, NotRun{RefusalCode::kOverloaded, ""}, 20);
    CPPUNIT_ASSERT(!this->PassedOver(kReplica));
  }

  void AReplicaAddedLaterStartsSlowly() {
    this->view.members.push_back(Named("member-3"));
    this->guards.Rebuild(this->now, &this->view);
    CPPUNIT_ASSERT(this->PassedOver(3));
    CPPUNIT_ASSERT(!this->PassedOver(kReplica));
  }

 private:
  static RoutedMember Named(const std::string& name) {
    RoutedMember member;
    member.info.id = MemberId(name);
    return member;
  }

  static DatabaseView ThreeMembers() {
    DatabaseView made;
    for (const char* name : {"member-0", "member-1", "member-2"}) {
      made.members.push_back(Named(name));
    }
    made.primary = MemberId("member-0");
    return made;
  }

  static Answered AnswerIn(milliseconds time) {
    Answered answer;
    answer.member_time = time;
    return answer;
  }

  void RecordOutcomes(std::size_t place, const Outcome& outcome, int times) {
    for (int i = 0; i < times; ++i) {
      this->guards.OnSent(this->now, place);
      this->guards.OnOutcome(this->now, place, outcome);
    }
  }

  bool PassedOver(std::size_t place) {
    return this->guards.PassedOver(this->now).Has(place);
  }

  steady_clock::time_point now;
  DatabaseView view = ThreeMembers();
  ReplicaGuards guards{1, [](const MemberId&, bool) {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaGuardsTest);

}  // namespace
}  // namespace lacewingferry
