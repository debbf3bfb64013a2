#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "bench/model/membership_fleet.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry {
namespace {

using model::MembershipFleet;
using std::chrono::seconds;

/** Tests the routing view that is built from the records, and the encoding of
 * the messages that carry them. */
class MembershipViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipViewTest);
  CPPUNIT_TEST(UpdatesOwnersWhenProxiesOrSlotsChange);
  CPPUNIT_TEST(ExcludesControlProcesses);
  CPPUNIT_TEST(DecodesEachEncodedMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UpdatesOwnersWhenProxiesOrSlotsChange() {
    MembershipFleet fleet({});
    fleet.RunFor(seconds(5));
    this->CheckOwners(fleet);
    fleet.processes[4].node->StartDraining(fleet.queue.Now());
    fleet.RunFor(seconds(2));
    this->CheckOwners(fleet);
    fleet.Kill(7);
    fleet.members[5].announcement.info.slots = 9;
    fleet.RunFor(seconds(3));
    this->CheckOwners(fleet);
    fleet.Start(7);
    fleet.RunFor(seconds(3));
    this->CheckOwners(fleet);
  }

  void ExcludesControlProcesses() {
    MembershipFleet fleet({});
    fleet.RunFor(seconds(5));
    MembershipNode& node = *fleet.processes[0].node;
    CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                         node.BuildView(fleet.queue.Now()).proxies.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, node.ProxyPeers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, node.ControlPeers().size());
  }

  void DecodesEachEncodedMessage() {
    MembershipFleet fleet({});
    fleet.tap = [](std::size_t, std::size_t, const PeerMessage& message) {
      const std::string bytes = EncodePeerMessage(message);
      const PeerMessage decoded = DecodePeerMessage(bytes.data(), bytes.size());
      CPPUNIT_ASSERT_EQUAL(message.body.index(), decoded.body.index());
      CPPUNIT_ASSERT(bytes == EncodePeerMessage(decoded));
    };
    fleet.RunFor(seconds(3));
    fleet.members[3].up = false;
    fleet.RunFor(seconds(3));
  }

 private:
  /** Compares the slot owners in the view of one process, which caches them
   * between views, with newly computed ones. */
  void CheckOwners(MembershipFleet& fleet) {
    const RoutingView view =
        fleet.processes[0].node->BuildView(fleet.queue.Now());
    std::size_t members = 0;
    for (const auto& database : view.databases) {
      for (const RoutedMember& member : database.second.members) {
        ++members;
        const auto expected = AssignSlotOwners(member.info, view.proxies);
        CPPUNIT_ASSERT_EQUAL(expected.size(), member.owners.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
          CPPUNIT_ASSERT(expected[i].owner == member.owners[i].owner);
          CPPUNIT_ASSERT_EQUAL(expected[i].slots, member.owners[i].slots);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(fleet.members.size(), members);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipViewTest);

}  // namespace
}  // namespace lacewingferry
