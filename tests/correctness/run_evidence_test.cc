#include "lacewingferry/decisions/switchover/run_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const MemberId kPrimary("p");
const MemberId kReplica("r");
const MemberRun kRun{kReplica, 7};
constexpr LogPosition kPosition{1, 40};

steady_clock::time_point At(int ms) {
  return steady_clock::time_point(milliseconds(ms));
}

/** When an answer stands for all that a replica ever acknowledged. Guards
 * against counting a replica that restarted without its log. */
class RunEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunEvidenceTest);
  CPPUNIT_TEST(ConnectionOpenedBeforeThePrimaryWasReadProvesItsRun);
  CPPUNIT_TEST(ReopenedConnectionProvesNothing);
  CPPUNIT_TEST(AnnouncementAfterTheOpeningProvesItsRun);
  CPPUNIT_TEST(RunWithoutANumberIsNotProvedByAnnouncements);
  CPPUNIT_TEST(OnlyTheConnectionOfTheLastPrimaryLed);
  CPPUNIT_TEST(MembersThatAreGoneAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ConnectionOpenedBeforeThePrimaryWasReadProvesItsRun() {
    RunEvidence evidence;
    evidence.OnReplica(kReplica, At(10));
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(10)));
    evidence.OnPrimary(kPrimary, At(1), {LogPosition{1, 30}, At(9)});
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(10)));
    evidence.OnPrimary(kPrimary, At(1), {kPosition, At(10)});
    evidence.OnPrimary(kPrimary, At(1), {LogPosition{1, 50}, At(20)});
    CPPUNIT_ASSERT(evidence.ProofOf(kRun, At(10))->earlier_runs == kPosition);
  }

  void ReopenedConnectionProvesNothing() {
    RunEvidence evidence;
    evidence.OnReplica(kReplica, At(10));
    evidence.OnPrimary(kPrimary, At(1), {kPosition, At(20)});
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(30)));
    evidence.OnReplica(kReplica, At(30));
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(30)));
  }

  void AnnouncementAfterTheOpeningProvesItsRun() {
    RunEvidence evidence;
    evidence.OnAnnounced(kRun, At(9));
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(10)));
    evidence.OnAnnounced(kRun, At(11));
    CPPUNIT_ASSERT(evidence.ProofOf(kRun, At(10))->earlier_runs ==
                   LogPosition());
    CPPUNIT_ASSERT(!evidence.ProofOf({kReplica, 8}, At(10)));
  }

  void RunWithoutANumberIsNotProvedByAnnouncements() {
    RunEvidence evidence;
    evidence.OnAnnounced({kReplica, 0}, At(11));
    CPPUNIT_ASSERT(!evidence.ProofOf({kReplica, 0}, At(10)));
  }

  void OnlyTheConnectionOfTheLastPrimaryLed() {
    RunEvidence evidence;
    evidence.OnPrimary(kPrimary, At(1), {kPosition, At(20)});
    CPPUNIT_ASSERT(evidence.LedOn(kPrimary, At(1)));
    CPPUNIT_ASSERT(!evidence.LedOn(kPrimary, At(2)));
    evidence.OnPrimary(kReplica, At(3), {kPosition, At(30)});
    CPPUNIT_ASSERT(!evidence.LedOn(kPrimary, At(1)));
  }

  void MembersThatAreGoneAreForgotten() {
    RunEvidence evidence;
    evidence.OnReplica(kReplica, At(10));
    evidence.OnPrimary(kPrimary, At(1), {kPosition, At(20)});
    evidence.KeepOnly({kPrimary, kReplica});
    CPPUNIT_ASSERT(evidence.ProofOf(kRun, At(10)));
    evidence.KeepOnly({kPrimary});
    CPPUNIT_ASSERT(!evidence.ProofOf(kRun, At(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunEvidenceTest);

}  // namespace
}  // namespace lacewingferry
