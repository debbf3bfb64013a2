#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <random>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** A startup message for protocol version 3 without settings. */
const std::string kStartup("\0\0\0\x09\0\x03\0\0\0", 9);

class StandinProtocolErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinProtocolErrorTest);
  CPPUNIT_TEST(ClosesOnAnOversizedFrame);
  CPPUNIT_TEST(ClosesOnMalformedBodies);
  CPPUNIT_TEST(ClosesOnAWrongStartup);
  CPPUNIT_TEST(SurvivesRandomBytes);
  CPPUNIT_TEST(SurvivesRandomReplicationBytes);
  CPPUNIT_TEST(AnswersEncryptionRequestsWithNo);
  CPPUNIT_TEST(RefusesSessionsAboveTheSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->member = StartPrimary("a"); }

  void tearDown() override {
    CPPUNIT_ASSERT(WaitUntil([this] {
      PostgresClient client(this->member->Port());
      return client.Value("SELECT 1") == "1";
    }));
  }

  void ClosesOnAnOversizedFrame() {
    const std::string frame("Q\x01\0\0\x01", 5);
    CPPUNIT_ASSERT(this->ErrorAfter(kStartup + frame));
  }

  void ClosesOnMalformedBodies() {
    using namespace std::string_literals;
    for (const std::string& frame :
         {"Q\0\0\0\x03"s, "Q\0\0\0\x05x"s, "B\0\0\0\x08\0\0\0\0"s,
          "B\0\0\0\x0a\0\0\xff\xff\0\0"s, "D\0\0\0\x06Z\0"s, "~\0\0\0\x04"s}) {
      CPPUNIT_ASSERT(this->ErrorAfter(kStartup + frame));
    }
  }

  void ClosesOnAWrongStartup() {
    using namespace std::string_literals;
    CPPUNIT_ASSERT(this->ErrorAfter("\0\0\0\x08\0\x02\0\0"s));
    CPPUNIT_ASSERT(this->ErrorAfter("\0\0\0\x05\0"s));
    CPPUNIT_ASSERT(this->ErrorAfter("GET / HTTP/1.1\r\n\r\n"s));
  }

  void SurvivesRandomBytes() {
    this->SendRandom(this->member->Port(), kStartup);
  }

  void SurvivesRandomReplicationBytes() {
    this->SendRandom(this->member->Replication().port, "");
    this->SendRandom(this->member->Replication().port,
                     std::string("\x04\0\0\0", 4));
  }

  void AnswersEncryptionRequestsWithNo() {
    tcp::socket socket = this->Connect(this->member->Port());
    boost::asio::write(socket, boost::asio::buffer(std::string(
                                   "\0\0\0\x08\x04\xd2\x16\x2f", 8)));
    char answer = 0;
    boost::asio::read(socket, boost::asio::buffer(&answer, 1));
    CPPUNIT_ASSERT_EQUAL('N', answer);
  }

  void RefusesSessionsAboveTheSlots() {
    std::vector<std::unique_ptr<PostgresClient>> clients;
    clients.reserve(5);
    for (int i = 0; i < 5; ++i) {
      clients.push_back(std::make_unique<PostgresClient>(this->member->Port()));
    }
    CPPUNIT_ASSERT(clients.back()->Connected());
    PostgresClient refused(this->member->Port());
    CPPUNIT_ASSERT(!refused.Connected());
    CPPUNIT_ASSERT(refused.Message().find("too many clients") !=
                   std::string::npos);
    clients.pop_back();
    CPPUNIT_ASSERT(WaitUntil(
        [this] { return PostgresClient(this->member->Port()).Connected(); }));
  }

 private:
  tcp::socket Connect(std::uint16_t port) {
    tcp::socket socket(this->io);
    socket.connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    return socket;
  }

  /** Whether the server answers with a protocol error and then closes. */
  bool ErrorAfter(const std::string& bytes) {
    tcp::socket socket = this->Connect(this->member->Port());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer.find("C08P01") != std::string::npos;
  }

  void SendRandom(std::uint16_t port, const std::string& prefix) {
    std::mt19937 engine(20261204);
    for (int round = 0; round < 100; ++round) {
      std::string bytes = prefix;
      for (int i = 0; i < 200; ++i) bytes += static_cast<char>(engine());
      tcp::socket socket = this->Connect(port);
      error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
  }

  boost::asio::io_context io;
  std::unique_ptr<RunningStandin> member;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinProtocolErrorTest);

}  // namespace
}  // namespace lacewingferry::testing
