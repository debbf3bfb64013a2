#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/membership/membership_node.h"

namespace lacewingferry {
namespace {

const MemberId kMember{"permit-db-1-a"};

MemberAnnouncement OfTheMember() {
  MemberAnnouncement announcement;
  announcement.info = MemberInfo{kMember,
                                 DatabaseId("permit-db-1"),
                                 GroupId("permit-db"),
                                 AvailabilityZone("nh-a"),
                                 Endpoint{"10.0.0.9", 5432},
                                 5,
                                 false};
  announcement.incarnation = 7;
  announcement.sequence = 3;
  return announcement;
}

/** A proxy that the member announced itself to. */
class AnnouncedTo {
 public:
  AnnouncedTo() : node(Settings(), Hooks()) {
    this->node.OnAnnouncement({}, OfTheMember());
  }

  /** Whether an announcement is refused. */
  bool Refuses(const MemberAnnouncement& announcement) {
    try {
      this->node.OnAnnouncement({}, announcement);
      return false;
    } catch (const UserError&) {
      return true;
    }
  }

  /** Another proxy found the member lost. */
  void LoseMember() {
    MemberAnnouncement last = OfTheMember();
    last.sequence = 4;
    const MembershipDelta delta{1, {MembershipRecord{last, true}}, false};
    this->node.OnMessage(
        {}, PeerMessage{NodeId("proxy-2"), "tcp://10.0.0.2:7100", delta});
  }

  DatabaseId DatabaseOfMember() const {
    const MembershipRecord* held = this->node.Table().Find(kMember);
    return std::get<MemberAnnouncement>(held->subject).info.database;
  }

 private:
  static MembershipSettings Settings() {
    MembershipSettings settings;
    settings.self = ProxyInfo{NodeId("proxy-1"), AvailabilityZone("nh-a"),
                              "tcp://10.0.0.1:7100", false};
    return settings;
  }

  static MembershipHooks Hooks() {
    MembershipHooks hooks;
    hooks.send = [](const std::string&, const PeerBody&) {};
    hooks.changed = [](const MembershipRecord&) {};
    return hooks;
  }

  MembershipNode node;
};

// Guards against an announcement of another writer under a member's ID, which
// took the member out of its group until it restarted (the cause of review/6).
class ForeignAnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignAnnouncementTest);
  CPPUNIT_TEST(AnyOtherDatabaseIsRefused);
  CPPUNIT_TEST(LostMemberMayServeAnotherDatabase);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyOtherDatabaseIsRefused() {
    CPPUNIT_ASSERT(rc::check("a member keeps its database", [] {
      AnnouncedTo proxy;
      MemberAnnouncement entry = OfTheMember();
      const auto name = *rc::gen::nonEmpty(
          rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
      if (*rc::gen::arbitrary<bool>()) {
        entry.info.database = DatabaseId(name);
      } else {
        entry.info.group = GroupId(name);
      }
      entry.incarnation = *rc::gen::inRange<std::uint64_t>(0, 1000);
      entry.sequence = *rc::gen::inRange<std::uint64_t>(0, 1000);
      entry.info.leaving = *rc::gen::arbitrary<bool>();
      RC_ASSERT(proxy.Refuses(entry));
      RC_ASSERT(proxy.DatabaseOfMember() == DatabaseId("permit-db-1"));
      // The member goes on.
      MemberAnnouncement next = OfTheMember();
      next.sequence = 5;
      RC_ASSERT(!proxy.Refuses(next));
    }));
  }

  void LostMemberMayServeAnotherDatabase() {
    AnnouncedTo proxy;
    proxy.LoseMember();
    MemberAnnouncement moved = OfTheMember();
    moved.info.database = DatabaseId("permit-db-2");
    moved.incarnation = 8;
    CPPUNIT_ASSERT(!proxy.Refuses(moved));
    CPPUNIT_ASSERT(proxy.DatabaseOfMember() == DatabaseId("permit-db-2"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignAnnouncementTest);

}  // namespace
}  // namespace lacewingferry
