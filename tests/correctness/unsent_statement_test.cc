#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "platform/client_lines.h"
#include "platform/line_buffer.h"
#include "tests/support/line_gateway.h"

namespace lacewingferry::testing {
namespace {

/** Refuses settings until told otherwise. */
LineRefusal RefuseSettings(const std::string& error, int* refused) {
  return [error, refused](const std::string& text) {
    if (text.rfind("SET", 0) != 0) return std::string();
    ++*refused;
    return "ERROR " + error + " i-0";
  };
}

// Guards against a statement that is told as perhaps run although it was never
// sent: a member had refused what has to be set before it.
class UnsentStatementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnsentStatementTest);
  CPPUNIT_TEST(WriteThatWasNotSentIsNoUnknownOne);
  CPPUNIT_TEST(CommitThatWasNotSentIsRolledBack);
  CPPUNIT_TEST(WhatNoMemberSetsIsTriedOnce);
  CPPUNIT_TEST(WhatNoLineCarriesIsNotAcknowledged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WriteThatWasNotSentIsNoUnknownOne() {
    LineGateway gateway;
    const ClientId client = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.Ask(client, "SET language nl").error);
    int refused = 0;
    gateway.SetRefusal(RefuseSettings("FAILED", &refused));
    const ClientReply reply = gateway.Ask(client, "STORE a b");
    CPPUNIT_ASSERT(reply.error == StatementError::kBusy);
    CPPUNIT_ASSERT(gateway.Runs().empty());
  }

  void CommitThatWasNotSentIsRolledBack() {
    LineGateway gateway;
    const ClientId client = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.Ask(client, "BEGIN").error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "STORE a b").error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "SET language nl").error);
    int refused = 0;
    gateway.SetRefusal(RefuseSettings("FAILED", &refused));
    CPPUNIT_ASSERT(gateway.Ask(client, "COMMIT").error ==
                   StatementError::kAborted);
  }

  void WhatNoMemberSetsIsTriedOnce() {
    LineGateway gateway;
    const ClientId client = gateway.Open("session");
    CPPUNIT_ASSERT(!gateway.Ask(client, "SET language nl").error);
    int refused = 0;
    gateway.SetRefusal(RefuseSettings("TOOLARGE", &refused));
    CPPUNIT_ASSERT(gateway.Ask(client, "LOOKUP a").error ==
                   StatementError::kTooLarge);
    CPPUNIT_ASSERT_EQUAL(1, refused);
  }

  // A setting of a legal line was acknowledged, the line to a member was
  // longer, and each statement after it closed up to four connections.
  void WhatNoLineCarriesIsNotAcknowledged() {
    LineGateway gateway;
    const ClientId client = gateway.Open("session");
    const std::size_t room = platform::kMostLineBytes;
    const std::map<std::string, std::string> beginnings = {
        {"x", "SET n "}, {"y", "PREPARE s LOOKUP "}};
    for (const auto& [id, begin] : beginnings) {
      const std::string longest(room - 8 - begin.size(), 'z');
      CPPUNIT_ASSERT(gateway.AskAs(client, id, begin + longest).error ==
                     StatementError::kTooLarge);
    }
    CPPUNIT_ASSERT(
        !gateway.Ask(client, "SET n " + std::string(room - 256, 'y')).error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "LOOKUP a").error);
    CPPUNIT_ASSERT(gateway.Faults().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnsentStatementTest);

}  // namespace
}  // namespace lacewingferry::testing
