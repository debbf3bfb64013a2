#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "bench/model/failover_trial.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/decisions/execution/write_confirmer.h"

namespace lacewingferry {
namespace {

using model::FailoverFleet;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 10;
constexpr std::uint64_t kTerm = 3;

GroupMemberState Row(const char* name, std::uint64_t offset) {
  GroupMemberState row;
  row.member = MemberId(name);
  row.self = row.member == MemberId("a");
  row.primary = row.self;
  row.term = kTerm;
  row.durable = {kTerm, offset};
  return row;
}

/** Guards against acknowledging a write because a replica outside the counted
 * members, or a second row of one member, was counted towards the majority. */
class CountedMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CountedMembersTest);
  CPPUNIT_TEST(AWriteThatOnlyAnUncountedReplicaHoldsIsNotAcknowledged);
  CPPUNIT_TEST(NewMembersHaveToConfirmAgain);
  CPPUNIT_TEST(AMemberWithTwoRowsCountsOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->confirmer = WriteConfirmer();
    this->confirmer.SetTerm(kTerm);
    this->SetMembers({"a", "b", "c"});
  }

  void AWriteThatOnlyAnUncountedReplicaHoldsIsNotAcknowledged() {
    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      model::FailoverTrialOptions options;
      options.places = model::KraanwaterOptions();
      options.codec = MakeLogCodec();
      options.seed = seed;
      options.prepare = [](FailoverFleet& fleet) {
        fleet.AddStranger(1);
        fleet.LetLag(1, milliseconds(430));
        fleet.LetLag(2, milliseconds(430));
      };
      const auto result = model::RunFailoverTrial(options);
      CPPUNIT_ASSERT(result.gap.has_value());
      acknowledged += result.acknowledged;
      lost += result.lost_writes;
    }
    CPPUNIT_ASSERT(acknowledged > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lost);
  }

  void NewMembersHaveToConfirmAgain() {
    this->confirmer.OnStatus({Row("a", 9), Row("c", 9)});
    CPPUNIT_ASSERT(this->confirmer.IsConfirmed({kTerm, 9}));
    this->SetMembers({"a", "b", "d"});
    CPPUNIT_ASSERT(!this->confirmer.IsConfirmed({kTerm, 9}));
    this->confirmer.OnStatus({Row("a", 9), Row("c", 9)});
    CPPUNIT_ASSERT(!this->confirmer.IsConfirmed({kTerm, 9}));
    this->confirmer.OnStatus({Row("a", 9), Row("d", 9)});
    CPPUNIT_ASSERT(this->confirmer.IsConfirmed({kTerm, 9}));
    this->SetMembers({"a", "b", "d"});
    CPPUNIT_ASSERT(this->confirmer.IsConfirmed({kTerm, 9}));
  }

  void AMemberWithTwoRowsCountsOnce() {
    this->SetMembers({"a", "b", "c", "d"});
    this->confirmer.OnStatus({Row("a", 9), Row("b", 9), Row("b", 9)});
    CPPUNIT_ASSERT(!this->confirmer.IsConfirmed({kTerm, 9}));
  }

 private:
  void SetMembers(const std::vector<const char*>& names) {
    std::vector<MemberId> members;
    members.reserve(names.size());
    for (const char* name : names) members.emplace_back(name);
    this->confirmer.SetMembers(static_cast<std::uint32_t>(members.size()),
                               members);
  }

  WriteConfirmer confirmer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CountedMembersTest);

}  // namespace
}  // namespace lacewingferry
