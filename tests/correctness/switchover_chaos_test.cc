#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>

#include "bench/model/switchover_fleet.h"

namespace lacewingferry {
namespace {

using model::SwitchoverFleet;
using model::SwitchoverMember;
using model::SwitchoverProxy;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 600;
constexpr int kFaults = 25;
constexpr milliseconds kCommitInterval{20};
/** Long enough for several rounds of leases, pauses and promotions. */
constexpr milliseconds kRecoveryTime{20000};

/** Runs a group of random size through random faults. */
class ChaosRun {
 public:
  explicit ChaosRun(std::uint64_t seed)
      : random(seed),
        fleet(this->RandomBetween(2, 6), this->RandomBetween(1, 8)) {}

  /** Returns what went wrong; empty if nothing did. */
  std::string Run() {
    this->fleet.Start();
    for (int i = 0; i < kFaults; ++i) {
      this->InjectFault();
      this->RunWithCommits(milliseconds(this->RandomBetween(0, 2500)));
      if (!this->Violation().empty()) return this->Violation();
    }
    this->RepairAll();
    this->RunWithCommits(kRecoveryTime);
    const LogPosition before = this->fleet.acknowledged;
    this->RunWithCommits(milliseconds(2000));
    if (!this->Violation().empty()) return this->Violation();
    return before < this->fleet.acknowledged
               ? ""
               : "no commit was acknowledged after the recovery";
  }

 private:
  std::size_t RandomBetween(std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least,
                                                      most)(this->random);
  }

  template <typename Map>
  typename Map::mapped_type& PickRandom(Map& map) {
    const auto index =
        static_cast<std::ptrdiff_t>(this->RandomBetween(0, map.size() - 1));
    return std::next(map.begin(), index)->second;
  }

  /** Sets whether a member's process runs, and with it whether the member is
   * reachable and receives. */
  static void SetAlive(SwitchoverMember& member, bool alive) {
    member.alive = alive;
    member.reachable = alive;
    member.receives = alive;
  }

  void InjectFault() {
    SwitchoverMember& member = this->PickRandom(this->fleet.members);
    switch (this->RandomBetween(0, 9)) {
      case 0:
      case 1:
        return SetAlive(member, !member.alive);
      case 2:
        if (member.alive) member.reachable = !member.reachable;
        return;
      case 3:
        if (member.alive) member.receives = !member.receives;
        return;
      case 4:
        member.slow = !member.slow;
        return;
      case 5:
        member.busy = !member.busy;
        return;
      case 6: {
        SwitchoverProxy& proxy = this->PickRandom(this->fleet.proxies);
        proxy.reachable = !proxy.reachable;
        return;
      }
      case 7:
        return this->fleet.Suspend(
            milliseconds(this->RandomBetween(100, 4000)));
      case 8:
        this->fleet.TakeOffice(false);
        this->RunWithCommits(milliseconds(this->RandomBetween(100, 4000)));
        return this->fleet.TakeOffice(true);
      default:
        for (auto& item : this->fleet.members) SetAlive(item.second, false);
        return;
    }
  }

  void RepairAll() {
    for (auto& item : this->fleet.members) {
      SetAlive(item.second, true);
      item.second.slow = false;
      item.second.busy = false;
    }
    for (auto& item : this->fleet.proxies) item.second.reachable = true;
  }

  void RunWithCommits(milliseconds length) {
    for (milliseconds elapsed{0}; elapsed < length;
         elapsed += kCommitInterval) {
      this->fleet.Commit();
      this->fleet.Run(kCommitInterval);
    }
  }

  std::string Violation() const {
    if (this->fleet.lost_commit) return "an acknowledged commit is lost";
    if (this->fleet.promoted_under_lease)
      return "a member was promoted while an earlier lease was in force";
    return "";
  }

  std::mt19937_64 random;
  SwitchoverFleet fleet;
};

class SwitchoverChaosTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwitchoverChaosTest);
  CPPUNIT_TEST(GroupsOfAnySizeLoseNoCommitAndRecover);
  CPPUNIT_TEST(RegressionSeedsPass);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GroupsOfAnySizeLoseNoCommitAndRecover() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) Check(seed);
  }

  void RegressionSeedsPass() {
    // Replicas stayed paused after the control leader that paused them lost
    // leadership.
    Check(5836);
  }

 private:
  static void Check(std::uint64_t seed) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                 ChaosRun(seed).Run());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwitchoverChaosTest);

}  // namespace
}  // namespace lacewingferry
