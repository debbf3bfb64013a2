#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/decisions/lease/lease_grantor.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const DatabaseId kDatabase("db");
const NodeId kFirst("p0");
const NodeId kSecond("p1");

/** Which proxies have said what they acknowledged when a term ends. Guards
 * against a proof by reports of proxies that leaves one of them out. */
class LeaseReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseReportTest);
  CPPUNIT_TEST(AllHoldersHaveToReport);
  CPPUNIT_TEST(LeaseThatExpiredUnreportedCounts);
  CPPUNIT_TEST(HolderThatRestartedCannotReport);
  CPPUNIT_TEST(LeaseThatEndedBeforeNeedsNoReport);
  CPPUNIT_TEST(LeasesOfAFormerLeaderAreNotKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->terms = DatabaseTerms();
    this->terms.Apply({AdoptDatabase{
        kDatabase, 1, MemberId("a"), {MemberId("a"), MemberId("b")}, 2}});
    this->grantor.emplace(this->terms, this->timing);
    this->grantor->OnLeadership(this->start, true);
    this->now = this->start + this->timing.duration;
  }

  void AllHoldersHaveToReport() {
    this->Renew(kFirst, 1);
    this->Renew(kSecond, 1);
    CPPUNIT_ASSERT(!this->AllReportedSince(this->now));
    this->Release(kFirst, 1);
    CPPUNIT_ASSERT(!this->AllReportedSince(this->now));
    this->Release(kSecond, 1);
    CPPUNIT_ASSERT(this->AllReportedSince(this->now));
  }

  void LeaseThatExpiredUnreportedCounts() {
    this->Renew(kFirst, 1);
    const auto sampled = this->now;
    this->now += 2 * this->timing.duration;
    CPPUNIT_ASSERT(!this->AllReportedSince(sampled));
  }

  void HolderThatRestartedCannotReport() {
    this->Renew(kFirst, 1);
    const auto sampled = this->now;
    this->now += milliseconds(100);
    this->Renew(kFirst, 2);
    this->Release(kFirst, 2);
    CPPUNIT_ASSERT(!this->AllReportedSince(sampled));
    // What the earlier run acknowledged is within a later position.
    CPPUNIT_ASSERT(this->AllReportedSince(sampled + this->timing.duration));
  }

  void LeaseThatEndedBeforeNeedsNoReport() {
    this->Renew(kFirst, 1);
    this->now += 2 * this->timing.duration;
    this->Renew(kSecond, 1);
    const auto sampled = this->now;
    this->Release(kSecond, 1);
    CPPUNIT_ASSERT(this->AllReportedSince(sampled));
  }

  void LeasesOfAFormerLeaderAreNotKnown() {
    CPPUNIT_ASSERT(!this->AllReportedSince(this->start));
    CPPUNIT_ASSERT(this->AllReportedSince(this->now));
  }

 private:
  void Renew(const NodeId& proxy, std::uint64_t incarnation) {
    LeaseRenewal renewal;
    renewal.sequence = ++this->sequence;
    renewal.incarnation = incarnation;
    renewal.lists_databases = true;
    renewal.databases_revision = this->sequence;
    renewal.databases = {{kDatabase, 1, 1}};
    const auto grant = this->grantor->OnRenewal(this->now, proxy, renewal);
    CPPUNIT_ASSERT(grant && grant->refused.empty());
  }

  void Release(const NodeId& proxy, std::uint64_t incarnation) {
    this->grantor->OnReleased(this->now, proxy, {kDatabase, 2, incarnation});
  }

  bool AllReportedSince(steady_clock::time_point since) const {
    return this->grantor->AllReportedSince(since, {kDatabase, 2, 1});
  }

  LeaseTiming timing;
  DatabaseTerms terms;
  std::optional<LeaseGrantor> grantor;
  steady_clock::time_point start{milliseconds(10000)};
  steady_clock::time_point now;
  std::uint64_t sequence = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseReportTest);

}  // namespace
}  // namespace lacewingferry
