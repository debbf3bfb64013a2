#include "lacewingferry/app/session_traffic.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace lacewingferry::testing {
namespace {

using std::chrono::steady_clock;

/** A front end without sockets, so that no client connects. */
SessionFront MakeFrontWithoutSockets(boost::asio::io_context& /*traffic*/,
                                     const SessionFrontAddresses& /*addresses*/,
                                     const SessionFrontHooks& /*hooks*/) {
  SessionFront front;
  front.reply = [](ClientId, const ClientReply&) {};
  front.close_client = [](ClientId) {};
  front.open_link = [](LinkId, const LinkTarget&) {};
  front.send = [](LinkId, const std::vector<MemberRequest>&) {};
  front.close_link = [](LinkId) {};
  return front;
}

SessionTrafficParts MakeParts() {
  SessionTrafficParts parts;
  parts.make_front = MakeFrontWithoutSockets;
  parts.clock.now = [] { return steady_clock::time_point(); };
  parts.events.record = [](const Event&) {};
  parts.recalled = [](const DatabaseId&, std::uint64_t, const LogPosition&) {};
  return parts;
}

class SessionTrafficTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTrafficTest);
  CPPUNIT_TEST(FirstMetricsPageHasGauges);
  CPPUNIT_TEST_SUITE_END();

 public:
  /** A metrics collector may read the page before the first tick, up to 250 ms
   * after the start. */
  void FirstMetricsPageHasGauges() {
    const SessionTraffic traffic(MakeParts());
    CPPUNIT_ASSERT(traffic.Metrics().find("ferry_sessions 0") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTrafficTest);

}  // namespace
}  // namespace lacewingferry::testing
