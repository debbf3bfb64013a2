#include "lacewingferry/adapters/http/operator_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include "lacewingferry/adapters/clock/system_clock.h"
#include "lacewingferry/adapters/http/http_server.h"
#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "lacewingferry/core/endpoint_text.h"
#include "tests/support/fake_control.h"
#include "tests/support/note_samples.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** A fake control process behind a real HTTP server on loopback. Its parts are
 * touched before Start and after Stop only. */
class ControlServer {
 public:
  ControlServer() {
    this->server = std::make_shared<HttpServer>(
        std::vector<HttpServer::Thread>{
            {&this->io,
             [this](const HttpRequest& request, const HttpRespond& respond) {
               ++this->requests;
               if (!this->silent) {
                 this->api->Handle(request, respond);
               }
             }}},
        Endpoint{"127.0.0.1", 0}, HttpLimits());
    this->control.now = std::chrono::system_clock::now();
    this->api = this->control.MakeApi(FormatEndpoint(this->Address()));
    this->control.now += std::chrono::seconds(1);
  }

  ~ControlServer() { this->Stop(); }

  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  void Start() {
    this->server->Start();
    this->thread = std::thread([this] { this->io.run(); });
  }

  void Stop() {
    if (this->thread.joinable()) {
      this->io.stop();
      this->thread.join();
      this->server->Stop();
    }
  }

  Endpoint Address() const {
    return Endpoint{"127.0.0.1", this->server->Port()};
  }

  FakeControl control;
  bool silent = false;
  int requests = 0;

 private:
  boost::asio::io_context io;
  std::shared_ptr<HttpServer> server;
  std::unique_ptr<OperatorApi> api;
  std::thread thread;
};

HttpRequest GetStatus() {
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/status";
  return request;
}

HttpRequest PostFirstNote() {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/notes";
  request.body = WriteReleaseNote(FirstNote());
  return request;
}

class OperatorClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorClientTest);
  CPPUNIT_TEST(FollowsToTheLeader);
  CPPUNIT_TEST(TriesTheNextControlProcess);
  CPPUNIT_TEST(GivesUpOnProcessesThatDoNotAnswer);
  CPPUNIT_TEST(GivesUpWhenNoLeaderIsKnown);
  CPPUNIT_TEST(IsRefusedWithAWrongSecret);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FollowsToTheLeader() {
    ControlServer leader;
    ControlServer follower;
    follower.control.leading = false;
    follower.control.leader = FormatEndpoint(leader.Address());
    leader.Start();
    follower.Start();
    OperatorClient client = this->MakeClient({follower.Address()});
    CPPUNIT_ASSERT_EQUAL(200, client.Call(PostFirstNote()).status);
    leader.Stop();
    follower.Stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         leader.control.state.Current().in_force.revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         follower.control.state.Current().in_force.revision);
  }

  void TriesTheNextControlProcess() {
    Endpoint gone;
    {
      const ControlServer stopped;
      gone = stopped.Address();
    }
    ControlServer leader;
    leader.Start();
    OperatorClient client = this->MakeClient({gone, leader.Address()});
    CPPUNIT_ASSERT_EQUAL(200, client.Call(GetStatus()).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.CallEach(GetStatus()).size());
  }

  void GivesUpOnProcessesThatDoNotAnswer() {
    ControlServer server;
    server.silent = true;
    server.Start();
    OperatorClient client = this->MakeClient(
        {server.Address()}, kOperatorSecret, milliseconds(200));
    CPPUNIT_ASSERT_THROW(client.Call(GetStatus()), UnreachableError);
    CPPUNIT_ASSERT_THROW(client.CallEach(GetStatus()), UnreachableError);
    server.Stop();
    CPPUNIT_ASSERT_EQUAL(2, server.requests);
  }

  void GivesUpWhenNoLeaderIsKnown() {
    ControlServer server;
    server.control.leading = false;
    server.Start();
    OperatorClient client = this->MakeClient({server.Address()});
    CPPUNIT_ASSERT_THROW(client.Call(PostFirstNote()), UnreachableError);
    const HttpResponse status = client.Call(GetStatus());
    CPPUNIT_ASSERT_EQUAL(200, status.status);
    CPPUNIT_ASSERT(status.body.find("\"leading\":false") != std::string::npos);
  }

  void IsRefusedWithAWrongSecret() {
    ControlServer server;
    server.Start();
    OperatorClient client =
        this->MakeClient({server.Address()}, "another secret");
    CPPUNIT_ASSERT_EQUAL(401, client.Call(PostFirstNote()).status);
    server.Stop();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, server.control.index);
  }

 private:
  OperatorClient MakeClient(const std::vector<Endpoint>& controls,
                            const std::string& secret = kOperatorSecret,
                            milliseconds timeout = milliseconds(10000)) {
    OperatorClientSettings settings;
    settings.controls = controls;
    settings.operator_name = "marit";
    settings.secret = secret;
    settings.timeout = timeout;
    return OperatorClient(settings, MakeSystemClock());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorClientTest);

}  // namespace
}  // namespace lacewingferry
