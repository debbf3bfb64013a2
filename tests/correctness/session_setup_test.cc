#include <cppunit/extensions/HelperMacros.h>

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
  CPPUNIT_TEST(SendsOnlyChangedSettings);
  CPPUNIT_TEST(UnknownNameIsRefusedWithoutMember);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SettingsOfAnotherSessionAreReset() {
    LinkState link;
    link.values = {{"language", "nl"}};
    SessionState session;
    session.values = {{"zone", "1"}};
    const auto requests = link.SetupRequests(session, nullptr);
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
    link.prepared = {statement.SharedName()};
    const auto requests = link.SetupRequests(SessionState(), &statement);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kReset);
    CPPUNIT_ASSERT(requests[1].kind == MemberRequestKind::kPrepare);
  }

  void SessionsSharePreparedStatement() {
    LinkState link;
    const PreparedStatement statement{true, "q2c"};
    Apply(link.SetupRequests(SessionState(), &statement), &link);
    const PreparedStatement same{true, "q2c"};
    CPPUNIT_ASSERT(link.SetupRequests(SessionState(), &same).empty());
  }

  void SameNameInTwoSessionsStaysSeparate() {
    SessionState first;
    SessionState second;
    first.ServeLocally(Statement(StatementKind::kPrepare, "s1", "a"));
    second.ServeLocally(Statement(StatementKind::kPrepare, "s1", "b"));
    const auto run = Statement(StatementKind::kExecute, "s1", "7");
    CPPUNIT_ASSERT(first.FindPrepared(run)->SharedName() !=
                   second.FindPrepared(run)->SharedName());
  }

  void SendsOnlyChangedSettings() {
    LinkState link;
    link.values = {{"a", "1"}, {"b", "2"}};
    SessionState session;
    session.values = {{"a", "1"}, {"b", "3"}};
    const auto requests = link.SetupRequests(session, nullptr);
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
