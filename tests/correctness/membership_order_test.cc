#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "bench/model/membership_fleet.h"

namespace lacewingferry {
namespace {

using model::MembershipFleet;
using model::MembershipFleetSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 50;
constexpr std::size_t kMember = 4;

MembershipFleetSettings Disturbed(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.1;
  settings.late = 0.05;
  return settings;
}

/** What one run of a member that changes and restarts showed. */
struct OrderSeen {
  /** How often a process went back to an earlier state of the member. */
  int reverted = 0;
  /** Whether all processes ended at the member's last state. */
  bool complete = false;
};

/** One member changes its term again and again and restarts twice. */
OrderSeen WatchOrder(const MembershipFleetSettings& settings) {
  MembershipFleet fleet(settings);
  using State = std::pair<std::uint64_t, std::uint64_t>;
  std::map<std::size_t, State> newest;
  OrderSeen seen;
  MemberAnnouncement& made = fleet.members[kMember].announcement;
  fleet.changed = [&](std::size_t process, const MembershipRecord& record) {
    const auto* member = std::get_if<MemberAnnouncement>(&record.subject);
    if (member == nullptr || member->info.id != made.info.id) return;
    const State state{member->incarnation, member->term};
    if (state < newest[process]) ++seen.reverted;
    newest[process] = std::max(newest[process], state);
  };
  fleet.RunFor(seconds(5));
  for (int step = 0; step < 12; ++step) {
    ++made.term;
    if (step % 5 == 4) fleet.RestartMember(kMember);
    fleet.RunFor(milliseconds(700));
  }
  fleet.RunFor(seconds(4));
  seen.complete = fleet.Everywhere([&made](const MembershipNode& node) {
    const MembershipRecord* record = node.Table().Find(made.info.id);
    if (record == nullptr || record->gone) return false;
    const auto& member = std::get<MemberAnnouncement>(record->subject);
    return member.incarnation == made.incarnation && member.term == made.term;
  });
  return seen;
}

/** Whether a leaving member is known in its zone within 2 s after both of the
 * zone's relays died one after the other. */
bool LeavesAfterTwoRelays(const MembershipFleetSettings& settings) {
  MembershipFleet fleet(settings);
  fleet.RunFor(seconds(12));
  const AvailabilityZone zone = fleet.members[kMember].announcement.info.zone;
  for (int killed = 0; killed < 2; ++killed) {
    for (std::size_t i = 0; i < settings.proxies; ++i) {
      const auto& process = fleet.processes[i];
      const bool relay = process.node != nullptr && process.node->IsRelay();
      if (!relay || process.info.zone != zone) continue;
      fleet.Kill(i);
      break;
    }
    fleet.RunFor(seconds(4));
  }
  fleet.members[kMember].announcement.info.leaving = true;
  const MemberId id = fleet.members[kMember].announcement.info.id;
  const auto known = [&fleet, &id] {
    return fleet.Everywhere([&id](const MembershipNode& node) {
      const MembershipRecord* record = node.Table().Find(id);
      if (record == nullptr) return false;
      return std::get<MemberAnnouncement>(record->subject).info.leaving;
    });
  };
  return fleet.RunUntil(known, seconds(2)).has_value();
}

/** Whether one process goes back to an earlier state of a member, which comes
 * late from the member itself or from a peer. In a fleet that fault passes
 * records back and forth without end. */
bool TakesOlder(const MembershipFaults& faults) {
  MembershipSettings settings;
  settings.self = ProxyInfo{NodeId("proxy-1"), AvailabilityZone("nh-a"),
                            "tcp://10.0.0.1:7100", false};
  settings.faults = faults;
  MembershipHooks hooks;
  hooks.send = [](const std::string&, const PeerBody&) {};
  hooks.changed = [](const MembershipRecord&) {};
  MembershipNode node(settings, hooks);
  const std::chrono::steady_clock::time_point now{};
  MemberAnnouncement early;
  early.info = MemberInfo{MemberId("permit-db-1-a"),
                          DatabaseId("permit-db-1"),
                          GroupId("permit-db"),
                          AvailabilityZone("nh-a"),
                          Endpoint{"10.0.0.9", 5432},
                          5,
                          false};
  early.incarnation = 7;
  early.sequence = 3;
  MemberAnnouncement late = early;
  late.sequence = 4;
  late.info.leaving = true;
  const auto leaving = [&] {
    const MembershipRecord* held = node.Table().Find(early.info.id);
    return std::get<MemberAnnouncement>(held->subject).info.leaving;
  };
  node.OnAnnouncement(now, late);
  node.OnAnnouncement(now, early);
  const bool from_member = !leaving();
  const MembershipDelta delta{1, {MembershipRecord{early, false}}, false};
  node.OnMessage(now,
                 PeerMessage{NodeId("proxy-2"), "tcp://10.0.0.2:7100", delta});
  const bool from_peer = !leaving();
  return from_member || from_peer;
}

class MembershipOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipOrderTest);
  CPPUNIT_TEST(NeverRevertsForLateOrDoubledMessages);
  CPPUNIT_TEST(RefusesOlderAnnouncementsAndRecords);
  CPPUNIT_TEST(CatchesAnAcceptedOlderRecord);
  CPPUNIT_TEST(CatchesAnIgnoredIncarnation);
  CPPUNIT_TEST(FailsOverBothRelays);
  CPPUNIT_TEST(CatchesRelaysThatStayInOffice);
  CPPUNIT_TEST(PutsTheLaterRunOfAProxyFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NeverRevertsForLateOrDoubledMessages() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const OrderSeen seen = WatchOrder(Disturbed(seed));
      const std::string name = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, seen.reverted);
      CPPUNIT_ASSERT_MESSAGE(name + " is incomplete", seen.complete);
    }
  }

  void RefusesOlderAnnouncementsAndRecords() {
    CPPUNIT_ASSERT(!TakesOlder(MembershipFaults{}));
  }

  void CatchesAnAcceptedOlderRecord() {
    MembershipFaults faults;
    faults.accept_older = true;
    CPPUNIT_ASSERT(TakesOlder(faults));
  }

  void CatchesAnIgnoredIncarnation() {
    MembershipFleetSettings settings = Disturbed(1);
    settings.faults.ignore_incarnation = true;
    const OrderSeen seen = WatchOrder(settings);
    CPPUNIT_ASSERT(seen.reverted > 0 || !seen.complete);
  }

  void FailsOverBothRelays() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleetSettings settings = Disturbed(seed);
      settings.late = 0;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             LeavesAfterTwoRelays(settings));
    }
  }

  void CatchesRelaysThatStayInOffice() {
    MembershipFleetSettings settings = Disturbed(1);
    settings.late = 0;
    settings.faults.keep_lost_relays = true;
    CPPUNIT_ASSERT(!LeavesAfterTwoRelays(settings));
  }

  void PutsTheLaterRunOfAProxyFirst() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Disturbed(seed));
      fleet.RunFor(seconds(12));
      const std::size_t proxy = 9;
      fleet.processes[proxy].node->StartDraining(fleet.queue.Now());
      fleet.Kill(proxy);
      fleet.RunFor(milliseconds(300));
      fleet.Start(proxy);
      fleet.RunFor(seconds(4));
      const std::uint64_t run = fleet.processes[proxy].incarnation;
      const NodeId id = fleet.processes[proxy].info.id;
      const bool known = fleet.Everywhere([&](const MembershipNode& node) {
        const MembershipRecord* record = node.Table().Find(id);
        const auto& state = std::get<NodeState>(record->subject);
        return !record->gone && state.incarnation == run &&
               !state.info.draining;
      });
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), known);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipOrderTest);

}  // namespace
}  // namespace lacewingferry
