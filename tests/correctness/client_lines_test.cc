#include "platform/client_lines.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/support/line_gateway.h"

namespace lacewingferry::testing {
namespace {

/** Asserts that a statement is refused as malformed, and that no member was
 * asked to read or write anything. */
void AssertRefused(const std::string& id, const std::string& text) {
  LineGateway gateway;
  const ClientId client = gateway.Open("session");
  const ClientReply reply = gateway.AskAs(client, id, text);
  CPPUNIT_ASSERT_MESSAGE(id + " " + text,
                         reply.error == StatementError::kMalformed);
  CPPUNIT_ASSERT(gateway.Runs().empty());
}

// Guards against a client's statement that a member takes for another one than
// was sent: for a proxy's own, for two, or for one with other fields.
class ClientLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientLinesTest);
  CPPUNIT_TEST(IdentifierOfProxiesIsNoClients);
  CPPUNIT_TEST(ControlCharactersEndNoFieldEarly);
  CPPUNIT_TEST(MissingFieldIsNoEmptyOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A client sent QUERY - LOOKUP a, and the member ran it as a request that the
  // proxy had made itself.
  void IdentifierOfProxiesIsNoClients() {
    AssertRefused("-", "LOOKUP a");
    AssertRefused("-", "STORE a b");
  }

  // A reader may take either half of a line's end for the whole.
  void ControlCharactersEndNoFieldEarly() {
    AssertRefused("c1", "LOOKUP a\nQUERY c2 STORE a b");
    AssertRefused("c1", "STORE a b\rQUERY c2 STORE a b");
    AssertRefused("c\t1", "LOOKUP a");
    AssertRefused("c1", "SET lan\tguage nl");
  }

  // EXECUTE s1 was sent on with a blank at its end, as if an empty item had
  // been sent.
  void MissingFieldIsNoEmptyOne() {
    LineGateway gateway;
    const ClientId client = gateway.Open("session");
    CPPUNIT_ASSERT(!gateway.Ask(client, "PREPARE s1 LOOKUP qa").error);
    for (const char* text : {"EXECUTE s1", "EXECUTE s1 ", "SET language"}) {
      CPPUNIT_ASSERT_MESSAGE(
          text, gateway.Ask(client, text).error == StatementError::kMalformed);
    }
    CPPUNIT_ASSERT(!gateway.Ask(client, "SET language ").error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "EXECUTE s1  ").error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.Runs().size());
    CPPUNIT_ASSERT(gateway.Faults().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLinesTest);

}  // namespace
}  // namespace lacewingferry::testing
