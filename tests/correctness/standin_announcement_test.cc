#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using boost::asio::ip::tcp;

/** Takes announcements one at a time, as a proxy would. */
class AnnouncementSink {
 public:
  AnnouncementSink()
      : acceptor(this->io,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
  }

  Endpoint Address() const {
    return Endpoint{"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  /** Waits for one request, answers it and gives its body. */
  nlohmann::json Take(const std::string& status = "202 Accepted") {
    tcp::socket socket = this->acceptor.accept();
    std::string request;
    const std::size_t head = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/announcements HTTP/1.1"),
                         request.substr(0, request.find('\r')));
    const std::string name = "Content-Length: ";
    const std::size_t length =
        std::stoul(request.substr(request.find(name) + name.size()));
    boost::asio::read(
        socket, boost::asio::dynamic_buffer(request),
        boost::asio::transfer_exactly(head + length - request.size()));
    boost::asio::write(socket,
                       boost::asio::buffer("HTTP/1.1 " + status +
                                           "\r\nContent-Length: 0\r\n\r\n"));
    return nlohmann::json::parse(request.substr(head));
  }

 private:
  boost::asio::io_context io;
  tcp::acceptor acceptor;
};

class StandinAnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinAnnouncementTest);
  CPPUNIT_TEST(StatesTheMember);
  CPPUNIT_TEST(AsksTheNextProxyAfterAFailure);
  CPPUNIT_TEST(LeavesAtOnceAndDrains);
  CPPUNIT_TEST(LeavesWhenToldInSql);
  CPPUNIT_TEST(DrainWaitsForSessions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StatesTheMember() {
    AnnouncementSink sink;
    const RunningStandin member(this->Settings({sink.Address()}));
    nlohmann::json first = sink.Take();
    CPPUNIT_ASSERT(first["incarnation"].get<std::uint64_t>() > 0);
    first.erase("incarnation");
    const nlohmann::json expected{
        {"member", "a"},
        {"database", "works-db-1"},
        {"group", "works-db"},
        {"zone", "nairobi-a"},
        {"host", "127.0.0.1"},
        {"port", member.Port()},
        {"replication_port", member.Replication().port},
        {"slots", 5},
        {"primary", true},
        {"term", 1},
        {"position", {{"term", 0}, {"offset", 0}}},
        {"leaving", false},
        {"sequence", 1}};
    CPPUNIT_ASSERT_EQUAL(expected.dump(), first.dump());
    PostgresClient(member.Port()).Run("CREATE TABLE gate (id BIGINT)");
    nlohmann::json next = sink.Take();
    CPPUNIT_ASSERT_EQUAL(2, next["sequence"].get<int>());
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return sink.Take()["position"]["offset"].get<int>() == 1; }));
  }

  void AsksTheNextProxyAfterAFailure() {
    AnnouncementSink failing;
    AnnouncementSink sink;
    const RunningStandin member(
        this->Settings({failing.Address(), sink.Address()}));
    const nlohmann::json refused = failing.Take("503 Service Unavailable");
    CPPUNIT_ASSERT_EQUAL(refused.dump(), sink.Take().dump());
    CPPUNIT_ASSERT_EQUAL(2, sink.Take()["sequence"].get<int>());
  }

  void LeavesAtOnceAndDrains() {
    AnnouncementSink sink;
    standin::StandinSettings settings = this->Settings({sink.Address()});
    settings.announcer.interval = std::chrono::hours(1);
    RunningStandin member(settings);
    sink.Take();
    std::thread taker(
        [&sink] { CPPUNIT_ASSERT(sink.Take()["leaving"].get<bool>()); });
    const bool drained = member.Drain();
    taker.join();
    CPPUNIT_ASSERT(drained);
  }

  void LeavesWhenToldInSql() {
    AnnouncementSink sink;
    const RunningStandin member(this->Settings({sink.Address()}));
    CPPUNIT_ASSERT(!sink.Take()["leaving"].get<bool>());
    PostgresClient client(member.Port());
    CPPUNIT_ASSERT_EQUAL(std::string("t"),
                         client.Value("SELECT ferry_leave()"));
    CPPUNIT_ASSERT(
        WaitUntil([&] { return sink.Take()["leaving"].get<bool>(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), client.Value("SELECT 1"));
  }

  void DrainWaitsForSessions() {
    RunningStandin member(this->Settings({}));
    auto client = std::make_unique<PostgresClient>(member.Port());
    std::thread closer([&client] {
      client->Run("SELECT 1");
      client.reset();
    });
    const bool drained = member.Drain();
    closer.join();
    CPPUNIT_ASSERT(drained);
  }

 private:
  static standin::StandinSettings Settings(std::vector<Endpoint> proxies) {
    standin::StandinSettings settings = MemberSettingsOf("a");
    settings.member.initial_primary = true;
    settings.announcer.proxies = std::move(proxies);
    settings.announcer.interval = std::chrono::milliseconds(20);
    return settings;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinAnnouncementTest);

}  // namespace
}  // namespace lacewingferry::testing
