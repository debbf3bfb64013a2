#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <variant>
#include <vector>

#include "tests/support/group_series.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using testing::AnyForeignEntry;
using testing::AnyLateFarewell;
using testing::AnyStep;
using testing::ForeignEntry;
using testing::LateFarewell;
using testing::Series;
using testing::Step;

/** A trouble of the group's own, or what another writer delivers. */
using Happening = std::variant<Step, ForeignEntry, LateFarewell>;

/** Long enough for several rounds of leases, pauses and promotions. */
constexpr milliseconds kRecoveryTime{20000};

rc::Gen<Happening> AnyHappening() {
  const auto as_happening = [](const auto& item) { return Happening{item}; };
  return rc::gen::weightedOneOf<Happening>(
      {{3, rc::gen::map(AnyStep(), as_happening)},
       {3, rc::gen::map(AnyForeignEntry(), as_happening)},
       {1, rc::gen::map(AnyLateFarewell(), as_happening)}});
}

void Play(Series* series, const std::vector<Happening>& happenings) {
  for (const Happening& happening : happenings) {
    if (const auto* step = std::get_if<Step>(&happening)) {
      series->Apply(*step);
    } else if (const auto* entry = std::get_if<ForeignEntry>(&happening)) {
      series->Deliver(*entry);
    } else {
      series->Deliver(std::get<LateFarewell>(happening));
    }
  }
  series->RepairAll();
  series->RunWithCommits(kRecoveryTime);
}

// Guards against entries and farewells that end the runs of others: lost
// commits, and a group that never serves again (review/6).
class ForeignEntryPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignEntryPropertyTest);
  CPPUNIT_TEST(NothingAcknowledgedIsMissingInWhatIsPromoted);
  CPPUNIT_TEST(GroupServesOnceAllMembersAreBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingAcknowledgedIsMissingInWhatIsPromoted() {
    const bool held = rc::check("nothing is lost to foreign entries", [] {
      Series series;
      Play(&series,
           *rc::gen::container<std::vector<Happening>>(AnyHappening()));
      RC_ASSERT(!series.Lost());
    });
    CPPUNIT_ASSERT(held);
  }

  void GroupServesOnceAllMembersAreBack() {
    const bool held = rc::check("foreign entries stop no group for good", [] {
      Series series;
      Play(&series,
           *rc::gen::container<std::vector<Happening>>(AnyHappening()));
      const LogPosition before = series.Acknowledged();
      series.RunWithCommits(milliseconds(2000));
      RC_ASSERT(before < series.Acknowledged());
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntryPropertyTest);

}  // namespace
}  // namespace lacewingferry
