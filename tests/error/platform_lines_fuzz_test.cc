#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <vector>

#include "lacewingferry/core/errors.h"
#include "platform/client_lines.h"
#include "platform/member_lines.h"
#include "tests/support/fuzz.h"

namespace lacewingferry::platform {
namespace {

using testing::Fuzz;
using testing::FuzzCounts;

constexpr std::size_t kInputs = 20'000;

const std::vector<std::string> kClientLines = {
    "STARTUP db someone",      "QUIT",
    "QUERY 7 LOOKUP item-1",   "QUERY 8 STORE item-1 value",
    "QUERY 9 BEGIN LOOKUP",    "QUERY 10 PREPARE s1 STORE q2c",
    "QUERY 11 EXECUTE s1 a b", "QUERY 12 SET language nl"};

const std::vector<std::string> kAnswers = {
    "READY I 3.1204\n", "ROW one\nROW two\nDONE 12ab\nREADY T 3.1205\n",
    "ERROR LAGGING behind\nREADY I -\n",
    "ROW replica 3 3.1209 0 12 2 17\nDONE -\nREADY I 3.1204\n"};

/** Takes the lines of an answer until one ends it. */
std::optional<MemberReply> Assemble(const std::string& text) {
  ReplyAssembler assembler;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    auto reply = assembler.Take(line);
    if (reply) return reply;
  }
  return std::nullopt;
}

class PlatformLinesFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformLinesFuzzTest);
  CPPUNIT_TEST(DamagedLinesOfClientsAreNeverFatal);
  CPPUNIT_TEST(DamagedAnswersOfMembersGiveTypedErrors);
  CPPUNIT_TEST(DamagedStatesOfMembersGiveTypedErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  /** A line that is wrong becomes a malformed statement or a stray line, so
   * there is no error to give. */
  void DamagedLinesOfClientsAreNeverFatal() {
    const FuzzCounts counts = Fuzz<DecodeError>(
        kClientLines, kInputs,
        [](const std::string& line) { DecodeClientLine(line); });
    CPPUNIT_ASSERT_EQUAL(kInputs, counts.decoded);
  }

  void DamagedAnswersOfMembersGiveTypedErrors() {
    const FuzzCounts counts = Fuzz<DecodeError>(
        kAnswers, kInputs, [](const std::string& text) { Assemble(text); });
    CPPUNIT_ASSERT(counts.decoded > 0);
    CPPUNIT_ASSERT(counts.refused > 0);
  }

  void DamagedStatesOfMembersGiveTypedErrors() {
    const FuzzCounts counts = Fuzz<DecodeError>(
        {kAnswers.back()}, kInputs, [](const std::string& text) {
          const auto reply = Assemble(text);
          if (reply) DecodeStatus(*reply);
        });
    CPPUNIT_ASSERT(counts.decoded > 0);
    CPPUNIT_ASSERT(counts.refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformLinesFuzzTest);

}  // namespace
}  // namespace lacewingferry::platform
