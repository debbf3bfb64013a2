#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/peer_codec.h"
#include "lacewingferry/core/errors.h"
#include "tests/support/filled_record.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kInputs = 20'000;

/** Decodes a message, which encodes to the same message again. */
void DecodeAndReturn(const std::string& bytes) {
  const PeerMessage message = DecodePeerMessage(bytes.data(), bytes.size());
  const std::string again = EncodePeerMessage(message);
  CPPUNIT_ASSERT_EQUAL(
      again, EncodePeerMessage(DecodePeerMessage(again.data(), again.size())));
}

class PeerMessageFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessageFuzzTest);
  CPPUNIT_TEST(DamagedMessagesGiveTypedErrors);
  CPPUNIT_TEST(LengthsBeyondTheMessageAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DamagedMessagesGiveTypedErrors() {
    std::vector<std::string> samples;
    ForEachAlternative<PeerBody>([&samples](const PeerBody& body) {
      PeerMessage message = FilledRecord<PeerMessage>();
      message.body = body;
      samples.push_back(EncodePeerMessage(message));
    });
    const FuzzCounts counts =
        Fuzz<DecodeError>(samples, kInputs, DecodeAndReturn);
    CPPUNIT_ASSERT(counts.decoded > 0);
    CPPUNIT_ASSERT(counts.refused > 0);
  }

  // An array that claims four thousand million values needs no such memory.
  void LengthsBeyondTheMessageAreRefused() {
    for (const std::string& claim :
         {std::string("\xdd\xff\xff\xff\xff"),
          std::string("\xdf\xff\xff\xff\xff"),
          std::string("\x94\xa1x\xa0\xdd\xff\xff\xff\xff")}) {
      const std::string bytes = "\1" + claim;
      CPPUNIT_ASSERT_THROW(DecodePeerMessage(bytes.data(), bytes.size()),
                           DecodeError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessageFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
