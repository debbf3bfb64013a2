#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/adapters/token/session_token_codec.h"
#include "lacewingferry/core/errors.h"
#include "tests/support/filled_record.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::testing {
namespace {

constexpr std::size_t kInputs = 20'000;
const char kSecret[] = "0123456789abcdef";

std::string SampleToken(std::size_t positions) {
  SessionToken token;
  token.positions.assign(positions, FilledRecord<SeenPosition>());
  return EncodeSessionToken(token, kSecret);
}

class SessionTokenFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenFuzzTest);
  CPPUNIT_TEST(DamagedTokensAreRefused);
  CPPUNIT_TEST(DamagedContentGivesTypedErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Only a token that was given out is taken, for it is signed.
  void DamagedTokensAreRefused() {
    const std::vector<std::string> samples = {SampleToken(0), SampleToken(1),
                                              SampleToken(20)};
    const auto decode = [&samples](const std::string& text) {
      const SessionToken token = DecodeSessionToken(text, kSecret);
      const std::string again = EncodeSessionToken(token, kSecret);
      CPPUNIT_ASSERT(std::find(samples.begin(), samples.end(), again) !=
                     samples.end());
    };
    CPPUNIT_ASSERT(Fuzz<UserError>(samples, kInputs, decode).refused > 0);
  }

  // What is under the signature, as if the secret were known.
  void DamagedContentGivesTypedErrors() {
    const std::string content =
        detail::EncodeFields(FilledRecord<SessionToken>());
    const auto decode = [](const std::string& bytes) {
      detail::DecodeFields<SessionToken>(bytes.data(), bytes.size());
    };
    const FuzzCounts counts = Fuzz<DecodeError>({content}, kInputs, decode);
    CPPUNIT_ASSERT(counts.decoded > 0);
    CPPUNIT_ASSERT(counts.refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenFuzzTest);

}  // namespace
}  // namespace lacewingferry::testing
