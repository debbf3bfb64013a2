#include "lacewingferry/core/session_positions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "lacewingferry/adapters/token/session_token_codec.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr char kSecret[] = "0123456789abcdef0123456789abcdef";
/** The least that servers commonly accept for all of a request's headers. */
constexpr std::size_t kHeaderBytes = 8192;

Outcome AnswerAt(LogPosition position) {
  Answered answer;
  answer.position = position;
  return answer;
}

DatabaseId DatabaseNumber(int number) {
  return DatabaseId("a-database-with-a-long-name-" + std::to_string(number));
}

class SessionPositionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionPositionsTest);
  CPPUNIT_TEST(OnlyRises);
  CPPUNIT_TEST(KeepsNoPositionOfAnAnswerWithoutOne);
  CPPUNIT_TEST(StaysSmallAndForgetsTheLongestUnused);
  CPPUNIT_TEST(RejectsEveryChangedCharacter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyRises() {
    const DatabaseId database("permit-db-1");
    SessionToken token = AdvanceToken({}, database, AnswerAt({2, 5}));
    token = AdvanceToken(token, database, AnswerAt({1, 900}));
    CPPUNIT_ASSERT((FindPosition(token, database) == LogPosition{2, 5}));
    token = AdvanceToken(token, database, NotRun{});
    CPPUNIT_ASSERT((FindPosition(token, database) == LogPosition{2, 5}));
    CPPUNIT_ASSERT(!FindPosition(token, DatabaseId("permit-db-2")));
  }

  void KeepsNoPositionOfAnAnswerWithoutOne() {
    const DatabaseId database("permit-db-1");
    const SessionToken token = AdvanceToken({}, database, AnswerAt({0, 0}));
    CPPUNIT_ASSERT(!FindPosition(token, database));
  }

  void StaysSmallAndForgetsTheLongestUnused() {
    const DatabaseId used("used-now-and-then");
    SessionToken token;
    for (int i = 0; i < 1400; ++i) {
      if (i % 50 == 0) token = AdvanceToken(token, used, AnswerAt({9, 9}));
      token = AdvanceToken(token, DatabaseNumber(i), AnswerAt({70000, 1}));
    }
    CPPUNIT_ASSERT((FindPosition(token, used) == LogPosition{9, 9}));
    CPPUNIT_ASSERT(FindPosition(token, DatabaseNumber(1399)));
    CPPUNIT_ASSERT(!FindPosition(token, DatabaseNumber(0)));
    const std::string text = EncodeSessionToken(token, kSecret);
    CPPUNIT_ASSERT(text.size() < kHeaderBytes);
    CPPUNIT_ASSERT(
        FindPosition(DecodeSessionToken(text, kSecret), DatabaseNumber(1399)));
  }

  void RejectsEveryChangedCharacter() {
    const std::string text = EncodeSessionToken(
        AdvanceToken({}, DatabaseNumber(1), AnswerAt({3, 4})), kSecret);
    for (std::size_t i = 0; i < text.size(); ++i) {
      std::string forged = text;
      forged[i] = forged[i] == 'A' ? 'Q' : 'A';
      CPPUNIT_ASSERT_THROW(DecodeSessionToken(forged, kSecret), UserError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionPositionsTest);

}  // namespace
}  // namespace lacewingferry
