#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "platform/session_front_adapter.h"

namespace lacewingferry::platform {
namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kLimit{5000};

/** A port that is free on every loopback address now. */
std::uint16_t FreePort(boost::asio::io_context& io) {
  return tcp::acceptor(io, {tcp::v4(), 0}).local_endpoint().port();
}

/** Fronts of three proxies at loopback addresses of their own. The first
 * relays what the tests say; the others admit as they are told, and answer a
 * statement by its text. */
class Fronts {
 public:
  Fronts() : port(FreePort(this->io)), relay_port(FreePort(this->io)) {
    for (int i = 0; i < 3; ++i) this->Make(i);
  }

  static std::string Host(int proxy) {
    return "127.0.0." + std::to_string(41 + proxy);
  }

  /** Opens a session at the first proxy, sends bytes, and returns what came
   * back until the end of the text given or of the connection. */
  std::string Exchange(const std::string& bytes, const std::string& until) {
    if (!this->client) {
      this->client.emplace(this->io);
      this->client->connect(
          {boost::asio::ip::make_address(Host(0)), this->port});
    }
    boost::asio::write(*this->client, boost::asio::buffer(bytes));
    std::string received;
    bool done = false;
    boost::asio::async_read_until(
        *this->client, boost::asio::dynamic_buffer(received), until,
        [&](boost::system::error_code, std::size_t) { done = true; });
    this->RunUntil([&] { return done; });
    return received;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const auto limit = std::chrono::steady_clock::now() + kLimit;
    this->io.restart();
    while (!condition() && std::chrono::steady_clock::now() < limit) {
      this->io.run_one_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT(condition());
  }

  boost::asio::io_context io;
  std::uint16_t port;
  std::uint16_t relay_port;
  std::vector<SessionFront> fronts;
  /** What each proxy says of a session that another relays to it. */
  std::vector<AdmissionResult> verdicts =
      std::vector<AdmissionResult>(3, AdmissionResult::kAccepted);
  std::vector<NodeId> owners{NodeId(Host(1)), NodeId(Host(2))};
  std::vector<std::string> statements;
  std::vector<int> served_by;
  std::vector<RelayState> states;
  bool relay_failed = false;
  int gone = 0;
  int lost = 0;
  std::optional<tcp::socket> client;

 private:
  void Make(int proxy) {
    SessionFrontHooks hooks;
    hooks.open = [this, proxy](const SessionOpening& opening,
                               const AdmissionHook& done) {
      const bool relays = opening.origin == SessionOrigin::kClient;
      done(relays ? Admission{AdmissionResult::kRelayed, this->owners}
                  : Admission{this->verdicts[proxy], {}});
    };
    hooks.statement = [this, proxy](ClientId id,
                                    const ClientStatement& statement) {
      this->statements.push_back(statement.text);
      this->served_by.push_back(proxy);
      ClientReply reply;
      reply.rows = {"row of " + statement.text};
      reply.state = TransactionState::kOpen;
      this->fronts[proxy].reply(id, reply);
    };
    hooks.relay_state = [this](ClientId, const RelayState& state) {
      this->states.push_back(state);
    };
    hooks.relay_lost = [this](const std::string&, const NodeId&) {
      ++this->lost;
    };
    hooks.relay_failed = [this](ClientId, const std::string&) {
      this->relay_failed = true;
    };
    hooks.client_gone = [this](ClientId) { ++this->gone; };
    this->fronts.push_back(MakeLineFront(
        this->io, {{Host(proxy), this->port}, {Host(proxy), this->relay_port}},
        std::move(hooks)));
  }
};

class SessionRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionRelayTest);
  CPPUNIT_TEST(LinesPassAsTheyAre);
  CPPUNIT_TEST(TheNextOwnerIsTried);
  CPPUNIT_TEST(WithoutOwnersTheClientIsRefused);
  CPPUNIT_TEST(TheOwnersRefusalIsPassedOn);
  CPPUNIT_TEST(AClientThatLeavesEndsItsSessionThere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesPassAsTheyAre() {
    Fronts fronts;
    CPPUNIT_ASSERT_EQUAL(
        std::string("READY I -\r\n"),
        fronts.Exchange("STARTUP lepu270 u3\r\n", "READY I -\r\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("ROW row of LOOKUP  1 \r\nDONE -\r\nREADY T -\r\n"),
        fronts.Exchange("QUERY 5c0e LOOKUP  1 \r\n", "READY T -\r\n"));
    CPPUNIT_ASSERT_EQUAL(1, fronts.served_by.at(0));
    CPPUNIT_ASSERT(!fronts.states.front().awaiting_answer);
    CPPUNIT_ASSERT(fronts.states.at(1).awaiting_answer);
    CPPUNIT_ASSERT(!fronts.states.back().awaiting_answer);
    CPPUNIT_ASSERT(fronts.states.back().transaction == TransactionState::kOpen);
  }

  void TheNextOwnerIsTried() {
    Fronts fronts;
    // Nothing listens at the first address; the second proxy serves others.
    fronts.owners = {NodeId("127.0.0.40"), NodeId(Fronts::Host(1)),
                     NodeId(Fronts::Host(2))};
    fronts.verdicts[1] = AdmissionResult::kNotServedHere;
    fronts.Exchange("STARTUP lepu270 u3\r\n", "READY I -\r\n");
    fronts.Exchange("QUERY 5c0e LOOKUP 1\r\n", "READY T -\r\n");
    CPPUNIT_ASSERT_EQUAL(2, fronts.served_by.at(0));
  }

  void WithoutOwnersTheClientIsRefused() {
    Fronts fronts;
    fronts.verdicts.assign(3, AdmissionResult::kNotServedHere);
    const std::string answer =
        fronts.Exchange("STARTUP lepu270 u3\r\n", "\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY"), answer.substr(0, 10));
    CPPUNIT_ASSERT(fronts.relay_failed);
  }

  void TheOwnersRefusalIsPassedOn() {
    Fronts fronts;
    fronts.verdicts[1] = AdmissionResult::kNoDatabase;
    const std::string answer =
        fronts.Exchange("STARTUP lepu270 u3\r\n", "\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR NODB"), answer.substr(0, 10));
  }

  void AClientThatLeavesEndsItsSessionThere() {
    Fronts fronts;
    fronts.Exchange("STARTUP lepu270 u3\r\n", "READY I -\r\n");
    fronts.client.reset();
    fronts.RunUntil([&] { return fronts.gone == 2; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionRelayTest);

}  // namespace
}  // namespace lacewingferry::platform
