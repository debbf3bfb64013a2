#include "lacewingferry/adapters/msgpack/peer_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <chrono>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

PeerMessage SampleForward() {
  ForwardRequest forward;
  forward.forward_id = 7;
  forward.member = MemberId("permit-db-1-a");
  forward.term = 3;
  forward.request.database = DatabaseId("permit-db-1");
  forward.request.kind = RequestKind::kWrite;
  forward.request.statement = {"INSERT INTO hire VALUES (?, ?)",
                               {SqlValue("1"), SqlValue()}};
  forward.request.session_position = LogPosition{3, 9};
  forward.request.max_age = milliseconds(250);
  return PeerMessage{NodeId("proxy-1"), "tcp://127.0.0.1:1", forward, {}};
}

PeerMessage SampleClaim() {
  SeatClaim claim;
  claim.zone = AvailabilityZone("nh-a");
  claim.incarnation = 11;
  claim.sequence = 12;
  claim.list = 10;
  claim.renewed = {Seat{MemberId("permit-db-1-a"), 4}};
  claim.released = {Seat{MemberId("permit-db-1-a"), 3}};
  claim.wishes = {SeatWish{MemberId("permit-db-1-a"), 1, 5, true}};
  claim.witnesses = 13;
  claim.joint = true;
  return PeerMessage{NodeId("proxy-1"), "tcp://127.0.0.1:1", claim, {}};
}

PeerMessage SampleGrant() {
  SeatGrant grant;
  grant.zone = AvailabilityZone("nh-a");
  grant.incarnation = 11;
  grant.sequence = 12;
  grant.list = 10;
  grant.all = true;
  grant.seats = {Seat{MemberId("permit-db-1-a"), 2}};
  return PeerMessage{NodeId("proxy-1"), "tcp://127.0.0.1:1", grant, {}};
}

PeerMessage ThereAndBack(const PeerMessage& message) {
  const std::string bytes = EncodePeerMessage(message);
  return DecodePeerMessage(bytes.data(), bytes.size());
}

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(ReturnsWhatWasEncoded);
  CPPUNIT_TEST(ReturnsClaimsAndGrantsOfSeats);
  CPPUNIT_TEST(RejectsEveryTruncation);
  CPPUNIT_TEST(SurvivesRandomBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsWhatWasEncoded() {
    const std::string bytes = EncodePeerMessage(SampleForward());
    const PeerMessage back = DecodePeerMessage(bytes.data(), bytes.size());
    const auto& forward = std::get<ForwardRequest>(back.body);
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1"), back.from.Value());
    CPPUNIT_ASSERT_EQUAL(std::string("permit-db-1"),
                         forward.request.database.Value());
    CPPUNIT_ASSERT(forward.request.kind == RequestKind::kWrite);
    CPPUNIT_ASSERT(!forward.request.statement.parameters[1]);
    CPPUNIT_ASSERT((*forward.request.session_position == LogPosition{3, 9}));
    CPPUNIT_ASSERT(*forward.request.max_age == milliseconds(250));
  }

  void ReturnsClaimsAndGrantsOfSeats() {
    const PeerMessage back = ThereAndBack(SampleClaim());
    const auto& claim = std::get<SeatClaim>(back.body);
    CPPUNIT_ASSERT_EQUAL(std::string("nh-a"), claim.zone.Value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, claim.incarnation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, claim.sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, claim.list);
    const MemberId member("permit-db-1-a");
    CPPUNIT_ASSERT((claim.renewed == std::vector<Seat>{Seat{member, 4}}));
    CPPUNIT_ASSERT((claim.released == std::vector<Seat>{Seat{member, 3}}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, claim.wishes.at(0).slots);
    CPPUNIT_ASSERT(claim.wishes.at(0).from_end && claim.joint);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, claim.witnesses);
    const PeerMessage answer = ThereAndBack(SampleGrant());
    const auto& grant = std::get<SeatGrant>(answer.body);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, grant.sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, grant.list);
    CPPUNIT_ASSERT(grant.all);
    CPPUNIT_ASSERT((grant.seats == std::vector<Seat>{Seat{member, 2}}));
  }

  void RejectsEveryTruncation() {
    for (const PeerMessage& sample :
         {SampleForward(), SampleClaim(), SampleGrant()}) {
      const std::string bytes = EncodePeerMessage(sample);
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CPPUNIT_ASSERT_THROW(DecodePeerMessage(bytes.data(), size),
                             DecodeError);
      }
    }
  }

  void SurvivesRandomBytes() {
    CPPUNIT_ASSERT(rc::check([](const std::string& tail) {
      const std::string bytes = std::string(1, '\1') + tail;
      try {
        DecodePeerMessage(bytes.data(), bytes.size());
      } catch (const DecodeError&) {
        return;
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

}  // namespace
}  // namespace lacewingferry
