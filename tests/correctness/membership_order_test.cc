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

MembershipFleetSettings Unreliable(std::uint64_t seed) {
  MembershipFleetSettings settings;
  settings.seed = seed;
  settings.loss = 0.05;
  settings.doubled = 0.1;
  settings.late = 0.05;
  return settings;
}

/** The result of a run in which a member changes and restarts. */
struct OrderResult {
  /** How often a process replaced its record of the member by an older
   * state. */
  int reversions = 0;
  /** Whether all processes hold the last state of the member at the end. */
  bool converged = false;
};

/** Changes the term of one member repeatedly and restarts the member twice. */
OrderResult RunMemberChanges(const MembershipFleetSettings& settings) {
  MembershipFleet fleet(settings);
  using State = std::pair<std::uint64_t, std::uint64_t>;
  std::map<std::size_t, State> newest;
  OrderResult result;
  MemberAnnouncement& announced = fleet.members[kMember].announcement;
  fleet.changed = [&](std::size_t process, const MembershipRecord& record) {
    const auto* member = std::get_if<MemberAnnouncement>(&record.subject);
    if (member == nullptr || member->info.id != announced.info.id) return;
    const State state{member->incarnation, member->term};
    if (state < newest[process]) ++result.reversions;
    newest[process] = std::max(newest[process], state);
  };
  fleet.RunFor(seconds(5));
  for (int step = 0; step < 12; ++step) {
    ++announced.term;
    if (step % 5 == 4) fleet.RestartMember(kMember);
    fleet.RunFor(milliseconds(700));
  }
  fleet.RunFor(seconds(4));
  result.converged = fleet.Everywhere([&announced](const MembershipNode& node) {
    const MembershipRecord* record = node.Table().Find(announced.info.id);
    if (record == nullptr || record->gone) return false;
    const auto& member = std::get<MemberAnnouncement>(record->subject);
    return member.incarnation == announced.incarnation &&
           member.term == announced.term;
  });
  return result;
}

/** Whether all processes learn within 2 s that a member is leaving, after both
 * relays of its zone have failed one after the other. */
bool SpreadsAfterTwoRelayFailures(const MembershipFleetSettings& settings) {
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

/** Whether a process accepts an older state of a member that arrives late, from
 * the member itself or from a peer. Tests a single process, because in a fleet
 * with this fault the processes forward records to each other endlessly. */
bool AcceptsOlderState(const MembershipFaults& faults) {
  MembershipSettings settings;
  settings.self = ProxyInfo{NodeId("proxy-1"), AvailabilityZone("nh-a"),
                            "tcp://10.0.0.1:7100", false};
  settings.faults = faults;
  MembershipHooks hooks;
  hooks.send = [](const std::string&, const PeerBody&) {};
  hooks.changed = [](const MembershipRecord&) {};
  MembershipNode node(settings, hooks);
  const std::chrono::steady_clock::time_point now{};
  MemberAnnouncement older;
  older.info = MemberInfo{MemberId("permit-db-1-a"),
                          DatabaseId("permit-db-1"),
                          GroupId("permit-db"),
                          AvailabilityZone("nh-a"),
                          Endpoint{"10.0.0.9", 5432},
                          5,
                          false};
  older.incarnation = 7;
  older.sequence = 3;
  MemberAnnouncement newer = older;
  newer.sequence = 4;
  newer.info.leaving = true;
  const auto leaving = [&] {
    const MembershipRecord* held = node.Table().Find(older.info.id);
    return std::get<MemberAnnouncement>(held->subject).info.leaving;
  };
  node.OnAnnouncement(now, newer);
  node.OnAnnouncement(now, older);
  const bool from_member = !leaving();
  const MembershipDelta delta{1, {MembershipRecord{older, false}}, false};
  node.OnMessage(now,
                 PeerMessage{NodeId("proxy-2"), "tcp://10.0.0.2:7100", delta});
  const bool from_peer = !leaving();
  return from_member || from_peer;
}

class MembershipOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipOrderTest);
  CPPUNIT_TEST(NeverRevertsOnLateOrDuplicateMessages);
  CPPUNIT_TEST(RejectsOlderAnnouncementsAndRecords);
  CPPUNIT_TEST(DetectsAcceptOlderFault);
  CPPUNIT_TEST(DetectsIgnoreIncarnationFault);
  CPPUNIT_TEST(SpreadsAfterBothRelaysFail);
  CPPUNIT_TEST(DetectsKeepLostRelaysFault);
  CPPUNIT_TEST(PrefersTheNewerIncarnationOfAProxy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NeverRevertsOnLateOrDuplicateMessages() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const OrderResult result = RunMemberChanges(Unreliable(seed));
      const std::string name = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, result.reversions);
      CPPUNIT_ASSERT_MESSAGE(name + ": not all processes hold the last state",
                             result.converged);
    }
  }

  void RejectsOlderAnnouncementsAndRecords() {
    CPPUNIT_ASSERT(!AcceptsOlderState(MembershipFaults{}));
  }

  void DetectsAcceptOlderFault() {
    MembershipFaults faults;
    faults.accept_older = true;
    CPPUNIT_ASSERT(AcceptsOlderState(faults));
  }

  void DetectsIgnoreIncarnationFault() {
    MembershipFleetSettings settings = Unreliable(1);
    settings.faults.ignore_incarnation = true;
    const OrderResult result = RunMemberChanges(settings);
    CPPUNIT_ASSERT(result.reversions > 0 || !result.converged);
  }

  void SpreadsAfterBothRelaysFail() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleetSettings settings = Unreliable(seed);
      settings.late = 0;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             SpreadsAfterTwoRelayFailures(settings));
    }
  }

  void DetectsKeepLostRelaysFault() {
    MembershipFleetSettings settings = Unreliable(1);
    settings.late = 0;
    settings.faults.keep_lost_relays = true;
    CPPUNIT_ASSERT(!SpreadsAfterTwoRelayFailures(settings));
  }

  void PrefersTheNewerIncarnationOfAProxy() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      MembershipFleet fleet(Unreliable(seed));
      fleet.RunFor(seconds(12));
      const std::size_t proxy = 9;
      fleet.processes[proxy].node->StartDraining(fleet.queue.Now());
      fleet.Kill(proxy);
      fleet.RunFor(milliseconds(300));
      fleet.Start(proxy);
      fleet.RunFor(seconds(4));
      const std::uint64_t incarnation = fleet.processes[proxy].incarnation;
      const NodeId id = fleet.processes[proxy].info.id;
      const bool known = fleet.Everywhere([&](const MembershipNode& node) {
        const MembershipRecord* record = node.Table().Find(id);
        const auto& state = std::get<NodeState>(record->subject);
        return !record->gone && state.incarnation == incarnation &&
               !state.info.draining;
      });
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), known);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipOrderTest);

}  // namespace
}  // namespace lacewingferry
