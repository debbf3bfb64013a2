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

/** Makes the connection what the requests make it. */
void Apply(const std::vector<MemberRequest>& requests, LinkState* link) {
  for (const MemberRequest& request : requests) link->OnDone(request);
}

class SessionSetupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionSetupTest);
  CPPUNIT_TEST(ValuesOfAnotherSessionAreForgotten);
  CPPUNIT_TEST(PreparesAgainAfterAReset);
  CPPUNIT_TEST(SessionsShareAPreparedShape);
  CPPUNIT_TEST(ClashingNamesKeepTheirShapes);
  CPPUNIT_TEST(TellsOnlyWhatDiffers);
  CPPUNIT_TEST(UnknownNamesAreRefusedWithoutAMember);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValuesOfAnotherSessionAreForgotten() {
    LinkState link;
    link.values = {{"language", "nl"}};
    SessionState session;
    session.values = {{"zone", "1"}};
    const auto requests = link.SetupFor(session, nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kReset);
    Apply(requests, &link);
    CPPUNIT_ASSERT(link.Matches(session));
  }

  // Found by the standard days scale-1 and scale-2: the reset forgot the
  // statement, which was taken for prepared and then not found.
  void PreparesAgainAfterAReset() {
    LinkState link;
    const PreparedStatement statement{false, "q2c"};
    link.values = {{"language", "nl"}};
    link.prepared = {statement.SharedName()};
    const auto requests = link.SetupFor(SessionState(), &statement);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kReset);
    CPPUNIT_ASSERT(requests[1].kind == MemberRequestKind::kPrepare);
  }

  void SessionsShareAPreparedShape() {
    LinkState link;
    const PreparedStatement statement{true, "q2c"};
    Apply(link.SetupFor(SessionState(), &statement), &link);
    const PreparedStatement same{true, "q2c"};
    CPPUNIT_ASSERT(link.SetupFor(SessionState(), &same).empty());
  }

  void ClashingNamesKeepTheirShapes() {
    SessionState first;
    SessionState second;
    first.ServeLocally(Statement(StatementKind::kPrepare, "s1", "a"));
    second.ServeLocally(Statement(StatementKind::kPrepare, "s1", "b"));
    const auto run = Statement(StatementKind::kExecute, "s1", "7");
    CPPUNIT_ASSERT(first.FindPrepared(run)->SharedName() !=
                   second.FindPrepared(run)->SharedName());
  }

  void TellsOnlyWhatDiffers() {
    LinkState link;
    link.values = {{"a", "1"}, {"b", "2"}};
    SessionState session;
    session.values = {{"a", "1"}, {"b", "3"}};
    const auto requests = link.SetupFor(session, nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT(requests[0].kind == MemberRequestKind::kSetValue);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), requests[0].name);
  }

  void UnknownNamesAreRefusedWithoutAMember() {
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
