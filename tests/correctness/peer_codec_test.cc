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

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(ReturnsWhatWasEncoded);
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

  void RejectsEveryTruncation() {
    const std::string bytes = EncodePeerMessage(SampleForward());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT_THROW(DecodePeerMessage(bytes.data(), size), DecodeError);
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
