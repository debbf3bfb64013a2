#include "lacewingferry/adapters/libpq/server_probe.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "tests/support/postgres_client.h"
#include "tests/support/standin_cluster.h"

namespace lacewingferry::testing {
namespace {

using boost::asio::ip::tcp;

constexpr char kHost[] = "127.0.0.1";
constexpr std::chrono::milliseconds kShortTimeout{50};

MemberSight Probe(std::uint16_t port, std::chrono::milliseconds timeout) {
  boost::asio::io_context io;
  std::optional<MemberSight> found;
  ProbeServer(io, Endpoint{kHost, port}, timeout,
              [&found](MemberSight sight) { found = sight; });
  CPPUNIT_ASSERT(!found.has_value());
  io.run();
  CPPUNIT_ASSERT(found.has_value());
  return *found;
}

class ServerProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerProbeTest);
  CPPUNIT_TEST(AnsweredWhileAllSlotsAreTaken);
  CPPUNIT_TEST(RefusedWhereNothingListens);
  CPPUNIT_TEST(TimedOutByAProcessThatDoesNotAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnsweredWhileAllSlotsAreTaken() {
    const standin::StandinSettings settings = MemberSettingsOf("probed");
    RunningStandin server(settings);
    std::vector<std::unique_ptr<PostgresClient>> clients;
    for (std::uint32_t slot = 0; slot < settings.postgres.slots; ++slot) {
      clients.push_back(std::make_unique<PostgresClient>(server.Port()));
      CPPUNIT_ASSERT(clients.back()->Connected());
    }
    CPPUNIT_ASSERT(!PostgresClient(server.Port()).Connected());
    CPPUNIT_ASSERT(Probe(server.Port(), kTestDeadline) ==
                   MemberSight::kAnswers);
  }

  void RefusedWhereNothingListens() {
    std::uint16_t port = 0;
    {
      boost::asio::io_context io;
      port = this->Listen(io).local_endpoint().port();
    }
    CPPUNIT_ASSERT(Probe(port, kTestDeadline) == MemberSight::kRefuses);
  }

  // A frozen process still has its connections accepted by the machine.
  void TimedOutByAProcessThatDoesNotAnswer() {
    boost::asio::io_context io;
    const tcp::acceptor silent = this->Listen(io);
    CPPUNIT_ASSERT(Probe(silent.local_endpoint().port(), kShortTimeout) ==
                   MemberSight::kSilent);
  }

 private:
  static tcp::acceptor Listen(boost::asio::io_context& io) {
    return {io, tcp::endpoint(boost::asio::ip::make_address(kHost), 0)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerProbeTest);

}  // namespace
}  // namespace lacewingferry::testing
