#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

#include "lacewingferry/adapters/token/session_token_codec.h"
#include "lacewingferry/app/caller_api.h"
#include "lacewingferry/decisions/choice/read_routing.h"

namespace lacewingferry {
namespace {

constexpr char kSecret[] = "secret of the test";

RoutedMember Member(const char* name, const char* zone) {
  RoutedMember member;
  member.info.id = MemberId(name);
  member.info.zone = AvailabilityZone(zone);
  member.owners = {SlotShare{NodeId("nh-a-proxy-1"), 5}};
  return member;
}

/** Checks which member is chosen for a read that a caller sends over HTTP. */
class SessionlessReadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionlessReadTest);
  CPPUNIT_TEST(AStatedAgeWithoutASessionIsServedByAReplica);
  CPPUNIT_TEST(ANamedSessionWithoutATokenMayHaveWritten);
  CPPUNIT_TEST(ATokenThatDoesntNameTheDatabaseMayHaveDroppedIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AStatedAgeWithoutASessionIsServedByAReplica() {
    CPPUNIT_ASSERT(this->ServedByReplica(R"("max_age":"5s")"));
    CPPUNIT_ASSERT(!this->ServedByReplica(R"("timeout":"1s")"));
  }

  void ANamedSessionWithoutATokenMayHaveWritten() {
    CPPUNIT_ASSERT(
        !this->ServedByReplica(R"("max_age":"5s","session":"crew-3")"));
  }

  void ATokenThatDoesntNameTheDatabaseMayHaveDroppedIt() {
    CPPUNIT_ASSERT(this->ServedByReplica(R"("max_age":"5s","token":")" +
                                         Token("permit-db-1") + "\""));
    CPPUNIT_ASSERT(!this->ServedByReplica(R"("max_age":"5s","token":")" +
                                          Token("permit-db-2") + "\""));
  }

 private:
  static std::string Token(const char* database) {
    return EncodeSessionToken(
        SessionToken{{SeenPosition{DatabaseId(database), {1, 7}}}}, kSecret);
  }

  bool ServedByReplica(const std::string& fields) {
    std::optional<StatementRequest> request;
    CallerApiHooks hooks;
    hooks.submit = [&request](StatementRequest submitted,
                              const std::function<void(const Outcome&)>&) {
      request = std::move(submitted);
    };
    HttpRequest http;
    http.method = "POST";
    http.path = "/v1/statements";
    http.body = R"({"database":"permit-db-1","kind":"read","sql":"SELECT 1",)" +
                fields + "}";
    CallerApi(hooks, CallerLimits{}, kSecret)
        .Handle(http, [](const HttpResponse&) {});
    CPPUNIT_ASSERT(request);
    DatabaseView view;
    view.primary = MemberId("permit-db-1-nh-a");
    view.members = {Member("permit-db-1-nh-a", "nh-a"),
                    Member("permit-db-1-gl-a", "gl-a")};
    RouteTable routes;
    routes.Rebuild(&view, AvailabilityZone("nh-a"), NodeId("nh-a-proxy-2"));
    const auto decision = routes.Choose({}, *request, MemberSet{});
    CPPUNIT_ASSERT(decision);
    return *decision->member != view.primary;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionlessReadTest);

}  // namespace
}  // namespace lacewingferry
