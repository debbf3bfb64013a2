#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <ostream>
#include <string>
#include <vector>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry {
namespace {

using model::SwitchoverFleet;
using model::SwitchoverMember;
using model::SwitchoverRestart;
using std::chrono::milliseconds;

constexpr milliseconds kCommitInterval{20};
/** Long enough for several rounds of leases, pauses and promotions. */
constexpr milliseconds kRecoveryTime{20000};

/** What befalls a group. */
enum class Trouble : std::uint8_t {
  kDeaf,
  kHears,
  kCrash,
  kBackEmpty,
  kBackEmptyUnderANewId,
  kBackEmptyBehindACut,
  kBackWithLog,
  kBackWithLogUnderANewId,
  kLeave,
  kJoin,
  kCutFromControl,
  kSeenByControl,
  kNewControlLeader,
  kNoControlForAWhile,
  kProxiesRestart,
  kPowerOfAllProcesses,
};

struct Step {
  Trouble trouble = Trouble::kDeaf;
  /** Which member, counted from the first. */
  std::size_t member = 0;
  /** How long clients go on writing after it. */
  milliseconds length{0};
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.trouble) << ", " << step.member
             << ", " << step.length.count() << " ms}";
}

/** Mostly what leaves a single holder of some commits. */
rc::Gen<Trouble> AnyTrouble() {
  return rc::gen::weightedElement<Trouble>(
      {{6, Trouble::kDeaf},
       {3, Trouble::kHears},
       {6, Trouble::kCrash},
       {2, Trouble::kBackEmpty},
       {2, Trouble::kBackEmptyUnderANewId},
       {2, Trouble::kBackEmptyBehindACut},
       {1, Trouble::kBackWithLog},
       {1, Trouble::kBackWithLogUnderANewId},
       {4, Trouble::kLeave},
       {1, Trouble::kJoin},
       {2, Trouble::kCutFromControl},
       {4, Trouble::kSeenByControl},
       {2, Trouble::kNewControlLeader},
       {1, Trouble::kNoControlForAWhile},
       {1, Trouble::kProxiesRestart},
       {1, Trouble::kPowerOfAllProcesses}});
}

/** Troubles often follow at once: what matters is who is left meanwhile. */
rc::Gen<milliseconds> AnyLength() {
  const auto lengths = [](int most) {
    return rc::gen::map(rc::gen::inRange(0, most), [](int hundreds) {
      return milliseconds(hundreds * 100);
    });
  };
  return rc::gen::weightedOneOf<milliseconds>(
      {{3, rc::gen::just(milliseconds(0))}, {2, lengths(8)}, {2, lengths(40)}});
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::trouble, AnyTrouble()),
      rc::gen::set(&Step::member, rc::gen::inRange<std::size_t>(0, 3)),
      rc::gen::set(&Step::length, AnyLength()));
}

/** A group that goes through a series of troubles. */
class Series {
 public:
  Series() {
    this->fleet.Start();
    this->RunWithCommits(milliseconds(500));
  }

  void Apply(const Step& step) {
    this->Inflict(step);
    this->RunWithCommits(step.length);
  }

  /** Lets every member run and be reached again. */
  void RepairAll() {
    std::vector<MemberId> down;
    for (auto& [id, member] : this->fleet.members) {
      if (!member.alive) down.push_back(id);
      member.reachable = member.alive;
      member.receives = member.alive;
    }
    for (const MemberId& id : down) this->Restart(id, {true, false});
  }

  void RunWithCommits(milliseconds length) {
    for (milliseconds elapsed{0}; elapsed < length;
         elapsed += kCommitInterval) {
      this->fleet.Commit();
      this->fleet.Run(kCommitInterval);
    }
  }

  bool Lost() const { return this->fleet.lost_commit; }
  LogPosition Acknowledged() const { return this->fleet.acknowledged; }

 private:
  void Inflict(const Step& step) {
    auto& members = this->fleet.members;
    if (members.empty()) return;
    const auto place =
        std::next(members.begin(),
                  static_cast<std::ptrdiff_t>(step.member % members.size()));
    const MemberId id = place->first;
    SwitchoverMember& member = place->second;
    switch (step.trouble) {
      case Trouble::kDeaf:
        member.receives = false;
        return;
      case Trouble::kHears:
        member.receives = member.alive;
        return;
      case Trouble::kCrash:
        return this->fleet.Crash(id);
      case Trouble::kBackEmpty:
        return this->Restart(id, {false, false});
      case Trouble::kBackEmptyUnderANewId:
        return this->Restart(id, {false, true});
      case Trouble::kBackEmptyBehindACut:
        return this->Restart(id, {false, false, true});
      case Trouble::kBackWithLog:
        return this->Restart(id, {true, false});
      case Trouble::kBackWithLogUnderANewId:
        return this->Restart(id, {true, true});
      case Trouble::kLeave:
        return this->Leave(id);
      case Trouble::kJoin:
        if (members.size() < 5) this->fleet.Join();
        return;
      case Trouble::kCutFromControl:
        member.reachable = false;
        return;
      case Trouble::kSeenByControl:
        member.reachable = member.alive;
        return;
      case Trouble::kNewControlLeader:
        return this->ChangeLeader(milliseconds(0));
      case Trouble::kNoControlForAWhile:
        return this->ChangeLeader(milliseconds(1500));
      case Trouble::kProxiesRestart:
        return this->fleet.RestartProxies();
      case Trouble::kPowerOfAllProcesses:
        this->fleet.RestartProxies();
        return this->ChangeLeader(milliseconds(900));
    }
  }

  /** A member comes back if it is down. One that leads keeps its log. */
  void Restart(const MemberId& id, SwitchoverRestart restart) {
    const SwitchoverMember& member = this->fleet.members.at(id);
    if (member.alive) return;
    if (member.primary) restart.keeps_log = true;
    this->fleet.Restart(id, restart);
  }

  /** A replica leaves the group for good; two members stay. */
  void Leave(const MemberId& id) {
    const SwitchoverMember& member = this->fleet.members.at(id);
    const bool may_leave = member.alive && member.reachable &&
                           !member.primary && this->fleet.members.size() > 2;
    if (!may_leave) return;
    this->fleet.Leave(id);
    this->fleet.members.erase(id);
  }

  void ChangeLeader(milliseconds without) {
    this->fleet.TakeOffice(false);
    this->RunWithCommits(without);
    this->fleet.TakeOffice(true);
  }

  SwitchoverFleet fleet;
};

// Guards against the incident of 164 lost commits, and against a database that
// never gets a primary again.
class SuccessionPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuccessionPropertyTest);
  CPPUNIT_TEST(NothingAcknowledgedIsMissingInWhatIsPromoted);
  CPPUNIT_TEST(GroupServesOnceAllMembersAreBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingAcknowledgedIsMissingInWhatIsPromoted() {
    const bool held =
        rc::check("what is promoted has every acknowledged commit", [] {
          const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
          Series series;
          for (const Step& step : steps) series.Apply(step);
          series.RepairAll();
          series.RunWithCommits(kRecoveryTime);
          RC_ASSERT(!series.Lost());
        });
    CPPUNIT_ASSERT(held);
  }

  void GroupServesOnceAllMembersAreBack() {
    const bool held =
        rc::check("a group serves again once all members are back", [] {
          const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
          Series series;
          for (const Step& step : steps) series.Apply(step);
          series.RepairAll();
          series.RunWithCommits(kRecoveryTime);
          const LogPosition before = series.Acknowledged();
          series.RunWithCommits(milliseconds(2000));
          RC_ASSERT(before < series.Acknowledged());
        });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessionPropertyTest);

}  // namespace
}  // namespace lacewingferry
