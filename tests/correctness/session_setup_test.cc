#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "lacewingferry/decisions/gateway/session_state.h"

namespace lacewingferry {
namespace {

ClientStatement Statement(StatementKind kind, const std::string& name,
                          const std::string& argument) {
  ClientStatement statement;
  statement.kind = kind;
  statement.name = name;
  statement.argument = argument;
  return statement;
}

/** Applies the effect of successful requests to a connection. */
void Apply(const std::vector<MemberRequest>& requests, LinkState* link) {
  for (const MemberRequest& request : requests) link->OnRequestDone(request);
}

class SessionSetupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionSetupTest);
  CPPUNIT_TEST(SettingsOfAnotherSessionAreReset);
  CPPUNIT_TEST(PreparesAgainAfterReset);
  CPPUNIT_TEST(SessionsSharePreparedStatement);
  CPPUNIT_TEST(SameNameInTwoSessionsStaysSeparate);
  CPPUNIT_TEST(NumberIsNeverUsedAgain);
  CPPUNIT_TEST(ReadAndWriteOfAShapeStaySeparate);
  CPPUNIT_TEST(LargeTextsOfASessionAreBounded);
  CPPUNIT_TEST(ConnectionWithLargeShapesIsReset);
  CPPUNIT_TEST(SendsOnlyChangedSettings);
  CPPUNIT_TEST(UnknownNameIsRefusedWithoutMember);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SettingsOfAnotherSessionAreReset() {
    LinkState link;
    link.values = {{"language", "nl"}};
    SessionState session;
    session.values = {{"zone", "1"}};
    const auto requests = link.SetupFor(session, nullptr).requests;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kReset);
    Apply(requests, &link);
    CPPUNIT_ASSERT(link.Matches(session));
  }

  // A reset also discards prepared statements on the member. When LinkState
  // still listed the statement as prepared, it was not prepared again and its
  // execution failed as unknown (in the scenarios scale-1 and scale-2).
  void PreparesAgainAfterReset() {
    LinkState link;
    const PreparedStatement statement{false, "q2c"};
    link.values = {{"language", "nl"}};
    link.prepared[statement] = 7;
    const auto requests = link.SetupFor(SessionState(), &statement).requests;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kReset);
    CPPUNIT_ASSERT(requests[1].kind == MemberRequestKind::kPrepare);
  }

  void SessionsSharePreparedStatement() {
    LinkState link;
    const PreparedStatement statement{true, "q2c"};
    const LinkSetup first = link.SetupFor(SessionState(), &statement);
    Apply(first.requests, &link);
    const PreparedStatement same{true, "q2c"};
    const LinkSetup second = link.SetupFor(SessionState(), &same);
    CPPUNIT_ASSERT(second.requests.empty());
    CPPUNIT_ASSERT_EQUAL(first.prepared, second.prepared);
  }

  void SameNameInTwoSessionsStaysSeparate() {
    SessionState first;
    SessionState second;
    first.ServeLocally(Statement(StatementKind::kPrepare, "s1", "a"));
    second.ServeLocally(Statement(StatementKind::kPrepare, "s1", "b"));
    const auto run = Statement(StatementKind::kExecute, "s1", "7");
    LinkState link;
    const LinkSetup setup = link.SetupFor(first, first.FindPrepared(run));
    Apply(setup.requests, &link);
    CPPUNIT_ASSERT(setup.prepared !=
                   link.SetupFor(second, second.FindPrepared(run)).prepared);
  }

  // The number of a statement that could not be prepared, or that a reset
  // discarded, must stay unknown to the member.
  void NumberIsNeverUsedAgain() {
    LinkState link;
    const PreparedStatement statement{false, "q2c"};
    const auto failed = link.SetupFor(SessionState(), &statement).prepared;
    const LinkSetup again = link.SetupFor(SessionState(), &statement);
    CPPUNIT_ASSERT(again.prepared != failed);
    Apply(again.requests, &link);
    link.values = {{"language", "nl"}};
    const LinkSetup reset = link.SetupFor(SessionState(), &statement);
    CPPUNIT_ASSERT(reset.prepared != again.prepared);
    CPPUNIT_ASSERT(reset.prepared != failed);
    Apply(reset.requests, &link);
    const PreparedStatement other{false, "q2d"};
    const auto after = link.SetupFor(SessionState(), &other).prepared;
    CPPUNIT_ASSERT(after > reset.prepared && reset.prepared > again.prepared);
  }

  void ReadAndWriteOfAShapeStaySeparate() {
    LinkState link;
    const PreparedStatement read{false, "q2c"};
    const PreparedStatement write{true, "q2c"};
    const LinkSetup first = link.SetupFor(SessionState(), &read);
    Apply(first.requests, &link);
    const LinkSetup second = link.SetupFor(SessionState(), &write);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
    CPPUNIT_ASSERT(second.prepared != first.prepared);
  }

  // A session could hold 1,024 texts of 1 MiB each.
  void LargeTextsOfASessionAreBounded() {
    SessionState session;
    const std::string large(1U << 20U, 'x');
    std::size_t taken = 0;
    for (int i = 0; i < 100; ++i) {
      const std::string name = "s" + std::to_string(i);
      const StatementKind kind =
          i % 2 == 0 ? StatementKind::kPrepare : StatementKind::kSetValue;
      const auto reply = session.ServeLocally(Statement(kind, name, large));
      if (!reply->error) ++taken;
    }
    CPPUNIT_ASSERT(taken >= 1 && taken <= 4);
    // One that takes the place of another needs no more room.
    CPPUNIT_ASSERT(
        !session.ServeLocally(Statement(StatementKind::kPrepare, "s0", large))
             ->error);
  }

  // A connection kept 512 shapes of 1 MiB each.
  void ConnectionWithLargeShapesIsReset() {
    LinkState link;
    std::size_t most = 0;
    for (char letter = 'a'; letter <= 'z'; ++letter) {
      const PreparedStatement large{false, std::string(1U << 20U, letter)};
      Apply(link.SetupFor(SessionState(), &large).requests, &link);
      most = std::max(most, link.prepared.size());
    }
    CPPUNIT_ASSERT(most <= 3);
  }

  void SendsOnlyChangedSettings() {
    LinkState link;
    link.values = {{"a", "1"}, {"b", "2"}};
    SessionState session;
    session.values = {{"a", "1"}, {"b", "3"}};
    const auto requests = link.SetupFor(session, nullptr).requests;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kSetValue);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), requests[0].name);
  }

  void UnknownNameIsRefusedWithoutMember() {
    SessionState session;
    const auto reply =
        session.ServeLocally(Statement(StatementKind::kExecute, "s9", "7"));
    CPPUNIT_ASSERT(reply && reply->error == StatementError::kUnknownPrepared);
    session.ServeLocally(Statement(StatementKind::kPrepare, "s9", "a"));
    CPPUNIT_ASSERT(
        !session.ServeLocally(Statement(StatementKind::kExecute, "s9", "7")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionSetupTest);

}  // namespace
}  // namespace lacewingferry
