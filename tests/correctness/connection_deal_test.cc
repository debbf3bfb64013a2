#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

#include "lacewingferry/decisions/ownership/connection_allocation.h"

namespace lacewingferry {
namespace {

/** The proxies of a fleet by zone, and the rule of one group. */
struct Fleet {
  ServiceRule rule{DatabaseId("db"), 96, 1};
  std::map<int, std::vector<NodeId>> zones;

  Fleet(std::uint32_t connections, const std::vector<int>& sizes) {
    this->rule.max_connections = connections;
    for (std::size_t zone = 0; zone < sizes.size(); ++zone) {
      auto& proxies = this->zones[static_cast<int>(zone)];
      proxies.reserve(static_cast<std::size_t>(sizes[zone]));
      for (int i = 0; i < sizes[zone]; ++i) {
        proxies.push_back(
            NodeId("10." + std::to_string(zone) + ".0." + std::to_string(i)));
      }
    }
  }

  std::uint32_t Size() const {
    std::size_t size = 0;
    for (const auto& zone : this->zones) size += zone.second.size();
    return static_cast<std::uint32_t>(size);
  }

  ConnectionAllocation AllocationOf(int zone, const NodeId& proxy) const {
    const ZoneProxies known{1, static_cast<std::uint32_t>(this->zones.size()),
                            this->zones.at(zone)};
    return AllocateConnections(this->rule, this->Size(), known, proxy);
  }

  /** The connections that all owners together may hold to one member. */
  std::uint32_t Held() const {
    std::uint32_t held = 0;
    for (const auto& [zone, proxies] : this->zones) {
      for (const NodeId& proxy : proxies) {
        const ConnectionAllocation allocation = this->AllocationOf(zone, proxy);
        if (allocation.owner) held += allocation.connections;
      }
    }
    return held;
  }
};

// Guards against a fleet with more proxies than a member has connections, in
// which each proxy held one: control and other proxies got no connection,
// members rejected thousands of connections, and an idle transaction blocked a
// whole proxy.
class ConnectionDealTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionDealTest);
  CPPUNIT_TEST(SmallFleetsServeAllGroupsThemselves);
  CPPUNIT_TEST(MembersKeepRoomForControl);
  CPPUNIT_TEST(AllProxiesOfAZoneNameTheSameOwners);
  CPPUNIT_TEST(AProxyThatGoesMovesOnlyWhatItOwned);
  CPPUNIT_TEST(NobodyIsNamedBeforeTheZoneIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetsServeAllGroupsThemselves() {
    const Fleet fleet(76, {9, 7, 4});
    const ConnectionAllocation allocation =
        fleet.AllocationOf(0, NodeId("10.0.0.1"));
    CPPUNIT_ASSERT(allocation.owner);
    CPPUNIT_ASSERT(allocation.owners.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, allocation.connections);
  }

  void MembersKeepRoomForControl() {
    const bool kept = rc::check([] {
      const int zones = *rc::gen::inRange(1, 14);
      std::vector<int> sizes;
      sizes.reserve(static_cast<std::size_t>(zones));
      for (int i = 0; i < zones; ++i) {
        sizes.push_back(*rc::gen::inRange(1, 80));
      }
      const auto connections = *rc::gen::inRange<std::uint32_t>(40, 400);
      const Fleet fleet(connections, sizes);
      RC_ASSERT(fleet.Held() <= connections * 85 / 100);
      for (const auto& [zone, proxies] : fleet.zones) {
        const ConnectionAllocation allocation =
            fleet.AllocationOf(zone, proxies.front());
        RC_ASSERT(allocation.owner || !allocation.owners.empty());
      }
    });
    CPPUNIT_ASSERT(kept);
  }

  void AllProxiesOfAZoneNameTheSameOwners() {
    const Fleet fleet(96, {19, 19, 19, 18, 19, 18});
    const auto owners = fleet.AllocationOf(3, NodeId("10.3.0.0")).owners;
    CPPUNIT_ASSERT(!owners.empty());
    for (const NodeId& proxy : fleet.zones.at(3)) {
      const ConnectionAllocation allocation = fleet.AllocationOf(3, proxy);
      CPPUNIT_ASSERT(allocation.owners == owners);
      const bool named =
          std::find(owners.begin(), owners.end(), proxy) != owners.end();
      CPPUNIT_ASSERT_EQUAL(named, allocation.owner);
    }
  }

  void AProxyThatGoesMovesOnlyWhatItOwned() {
    Fleet fleet(96, {19, 19, 19, 18, 19, 18});
    const auto before = fleet.AllocationOf(0, NodeId("10.0.0.0")).owners;
    auto& proxies = fleet.zones.at(0);
    proxies.erase(std::find(proxies.begin(), proxies.end(), before.front()));
    const auto after = fleet.AllocationOf(0, NodeId("10.0.0.0")).owners;
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    for (std::size_t i = 1; i < before.size(); ++i) {
      CPPUNIT_ASSERT(before[i] == after[i - 1]);
    }
  }

  void NobodyIsNamedBeforeTheZoneIsKnown() {
    const ConnectionAllocation allocation = AllocateConnections(
        {DatabaseId("db"), 96, 1}, 112, ZoneProxies(), NodeId("10.0.0.0"));
    CPPUNIT_ASSERT(!allocation.owner);
    CPPUNIT_ASSERT(allocation.owners.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionDealTest);

}  // namespace
}  // namespace lacewingferry
