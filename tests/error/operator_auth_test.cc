#include "lacewingferry/decisions/operators/operator_auth.h"

#include <cppunit/extensions/HelperMacros.h>

#include "lacewingferry/adapters/http/operator_signature.h"
#include "tests/support/fake_control.h"

namespace lacewingferry {
namespace {

using std::chrono::seconds;

const char* const kAddress = "127.0.0.1:8101";

class OperatorAuthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorAuthTest);
  CPPUNIT_TEST(GrantsAValidRequestOnce);
  CPPUNIT_TEST(RefusesModifiedRequests);
  CPPUNIT_TEST(RefusesRequestsSignedInTheFuture);
  CPPUNIT_TEST(RefusesRequestsSignedBeforeTheStart);
  CPPUNIT_TEST(RefusesMissingAndMalformedSignatures);
  CPPUNIT_TEST(LimitsStoredNonces);
  CPPUNIT_TEST(SignedTextSeparatesFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->control = FakeControl();
    this->api = this->control.MakeApi(kAddress);
    this->control.now += seconds(100);
  }

  void GrantsAValidRequestOnce() {
    const HttpRequest request = this->Sign(kAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->Send(request));
    CPPUNIT_ASSERT_EQUAL(std::string("401 replayed"), this->Send(request));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->Send(this->Sign(kAddress)));
    this->control.now += kMaxClockSkew + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("401 not_fresh"), this->Send(request));
  }

  void RefusesModifiedRequests() {
    const HttpRequest request = this->Sign(kAddress);
    HttpRequest changed = request;
    changed.path = "/v1/history";
    CPPUNIT_ASSERT_EQUAL(std::string("401 wrong_signature"),
                         this->Send(changed));
    changed = request;
    changed.method = "POST";
    CPPUNIT_ASSERT_EQUAL(std::string("401 wrong_signature"),
                         this->Send(changed));
    changed = request;
    changed.body = "x";
    CPPUNIT_ASSERT_EQUAL(std::string("401 wrong_signature"),
                         this->Send(changed));
    changed = request;
    changed.query = "x=1";
    CPPUNIT_ASSERT_EQUAL(std::string("401 wrong_signature"),
                         this->Send(changed));
    for (const char* header :
         {"x-ferry-operator", "x-ferry-time", "x-ferry-nonce"}) {
      changed = request;
      changed.headers[header] += "1";
      CPPUNIT_ASSERT(this->Send(changed) != "200");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("401 wrong_signature"),
                         this->Send(this->Sign("127.0.0.1:8102")));
  }

  void RefusesRequestsSignedInTheFuture() {
    const HttpRequest early = this->Sign(kAddress);
    this->control.now -= kMaxClockSkew + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("401 not_fresh"), this->Send(early));
  }

  void RefusesRequestsSignedBeforeTheStart() {
    const HttpRequest request = this->Sign(kAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->Send(request));
    this->control.now += seconds(1);
    this->api = this->control.MakeApi(kAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("401 not_fresh"), this->Send(request));
  }

  void RefusesMissingAndMalformedSignatures() {
    HttpRequest request = this->Sign(kAddress);
    request.headers["x-ferry-signature"] = "zz";
    CPPUNIT_ASSERT_EQUAL(std::string("401 no_signature"), this->Send(request));
    request.headers.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("401 no_signature"), this->Send(request));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->control.events.size());
    CPPUNIT_ASSERT(this->control.events[0].code == EventCode::kOperatorRefused);
  }

  void LimitsStoredNonces() {
    const auto now = this->control.now;
    OperatorAuth auth([](const auto&, const auto&) { return true; }, now);
    SignedRequest request;
    request.signed_at = now;
    for (std::size_t i = 0; i < kMaxNonces; ++i) {
      request.nonce = std::to_string(i);
      CPPUNIT_ASSERT(auth.Check(request, now) == AuthVerdict::kGranted);
    }
    request.nonce = "one more";
    CPPUNIT_ASSERT(auth.Check(request, now) == AuthVerdict::kBusy);
    const auto later = now + kMaxClockSkew + seconds(1);
    request.signed_at = later;
    CPPUNIT_ASSERT(auth.Check(request, later) == AuthVerdict::kGranted);
  }

  void SignedTextSeparatesFields() {
    SignedRequest a;
    a.method = "GET";
    a.path = "/v1";
    SignedRequest b;
    b.method = "GET/";
    b.path = "v1";
    CPPUNIT_ASSERT(SignedText(a) != SignedText(b));
  }

 private:
  HttpRequest Sign(const std::string& address) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/status";
    SignHttpRequest("marit", address, this->control.now, kOperatorSecret,
                    &request);
    return request;
  }

  /** Sends a request and returns the status and, if refused, the reason. */
  std::string Send(const HttpRequest& request) {
    std::string result;
    this->api->Handle(request, [&](const HttpResponse& response) {
      result = std::to_string(response.status);
      if (response.status != 200) {
        const auto reason = this->control.events.back().fields[1].second;
        CPPUNIT_ASSERT(response.body.find(reason) != std::string::npos);
        result += " " + reason;
      }
    });
    return result;
  }

  FakeControl control;
  std::unique_ptr<OperatorApi> api;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorAuthTest);

}  // namespace
}  // namespace lacewingferry
