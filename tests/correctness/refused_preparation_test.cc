#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "tests/support/line_gateway.h"

namespace lacewingferry::testing {
namespace {

/** Refuses the first so many preparations; all if the count is negative. */
LineRefusal RefusePreparations(int count, const std::string& error) {
  // All connections share the count.
  const auto left = std::make_shared<int>(count);
  return [left, error](const std::string& text) {
    if (text.rfind("PREPARE", 0) != 0 || *left == 0) return std::string();
    --*left;
    return "ERROR " + error + " i-0";
  };
}

/** More statements than a connection keeps prepared. */
constexpr int kManyShapes = 600;

// Guards against a prepared statement that is unknown to its client although
// its preparation was acknowledged: a member had refused to prepare it, and a
// transaction passed the member's answer to the execution on.
class RefusedPreparationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedPreparationTest);
  CPPUNIT_TEST(BusyMemberIsAskedAgainInATransaction);
  CPPUNIT_TEST(TransactionIsRolledBackIfItCantBePrepared);
  CPPUNIT_TEST(TransactionThatFailsWithItIsRolledBack);
  CPPUNIT_TEST(IsAskedAgainOutsideATransaction);
  CPPUNIT_TEST(WhatNoMemberTakesIsRefusedAtOnce);
  CPPUNIT_TEST(ResetThatEndsATransactionEndsItForTheClient);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BusyMemberIsAskedAgainInATransaction() {
    LineGateway gateway;
    const ClientId client = Begin(gateway);
    gateway.SetRefusal(RefusePreparations(1, "BUSY"));
    CPPUNIT_ASSERT(!gateway.Ask(client, "EXECUTE s1 a").error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "COMMIT").error);
    CPPUNIT_ASSERT(gateway.Faults().empty());
  }

  void TransactionIsRolledBackIfItCantBePrepared() {
    LineGateway gateway;
    const ClientId client = Begin(gateway);
    gateway.SetRefusal(RefusePreparations(-1, "FAILED"));
    const ClientReply reply = gateway.Ask(client, "EXECUTE s1 a");
    CPPUNIT_ASSERT(reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(gateway.Runs().empty());
  }

  // A member that has lost the lead refuses the preparation, and says of the
  // execution after it only that the transaction has failed.
  void TransactionThatFailsWithItIsRolledBack() {
    LineGateway gateway;
    const ClientId client = Begin(gateway);
    gateway.SetRefusal(RefusePreparations(-1, "READONLY"));
    const ClientReply reply = gateway.Ask(client, "EXECUTE s1 a");
    CPPUNIT_ASSERT(reply.error == StatementError::kReadOnly ||
                   reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(reply.state == TransactionState::kFailed);
    CPPUNIT_ASSERT(gateway.Runs().empty());
  }

  void IsAskedAgainOutsideATransaction() {
    LineGateway gateway;
    const ClientId client = gateway.Open("session");
    gateway.Ask(client, "PREPARE s1 LOOKUP qa");
    gateway.SetRefusal(RefusePreparations(1, "BUSY"));
    CPPUNIT_ASSERT(!gateway.Ask(client, "EXECUTE s1 a").error);
    CPPUNIT_ASSERT(gateway.Faults().empty());
  }

  void WhatNoMemberTakesIsRefusedAtOnce() {
    LineGateway gateway;
    const ClientId client = gateway.Open("session");
    gateway.Ask(client, "PREPARE s1 LOOKUP qa");
    int asked = 0;
    gateway.SetRefusal([&asked](const std::string& text) {
      if (text.rfind("PREPARE", 0) != 0) return std::string();
      ++asked;
      return std::string("ERROR TOOLARGE i-0");
    });
    const ClientReply reply = gateway.Ask(client, "EXECUTE s1 a");
    CPPUNIT_ASSERT(reply.error == StatementError::kTooLarge);
    CPPUNIT_ASSERT_EQUAL(1, asked);
  }

  // A connection with many prepared statements was reset in the middle of a
  // transaction, and what followed ran outside it.
  void ResetThatEndsATransactionEndsItForTheClient() {
    LineGateway gateway;
    gateway.EndTransactionsOnReset();
    const ClientId client = Begin(gateway);
    ClientReply reply;
    for (int i = 0; i < kManyShapes && !reply.error; ++i) {
      gateway.Ask(client, "PREPARE s1 LOOKUP qa" + std::to_string(i));
      reply = gateway.Ask(client, "EXECUTE s1 a");
    }
    CPPUNIT_ASSERT(reply.error == StatementError::kAborted);
    CPPUNIT_ASSERT(gateway.Faults().empty());
  }

 private:
  /** A session in a transaction at the primary, with a prepared read that no
   * connection has yet. */
  static ClientId Begin(LineGateway& gateway) {
    const ClientId client = gateway.Open("primary");
    CPPUNIT_ASSERT(!gateway.Ask(client, "PREPARE s1 LOOKUP qa").error);
    CPPUNIT_ASSERT(!gateway.Ask(client, "BEGIN").error);
    return client;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusedPreparationTest);

}  // namespace
}  // namespace lacewingferry::testing
