#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <numeric>
#include <vector>

#include "bench/model/fleet.h"
#include "lacewingferry/adapters/msgpack/peer_codec.h"

namespace lacewingferry {
namespace {

using std::chrono::seconds;

/** What a node may spend on control. */
constexpr std::uint64_t kMostBytesPerSecond = 3000;
constexpr std::uint64_t kMeasuredSeconds = 20;

/** The bytes that each proxy sends for seats in a second at rest. */
std::vector<std::uint64_t> BytesAtRest(model::FleetOptions options) {
  options.seats = true;
  model::EventQueue queue;
  model::Fleet fleet(queue, options);
  queue.RunUntil(queue.Now() + seconds(5));
  std::vector<std::uint64_t> sent(fleet.ProxyCount());
  fleet.SetSendObserver([&sent](std::size_t proxy, const PeerBody& body) {
    const bool seats = std::holds_alternative<SeatClaim>(body) ||
                       std::holds_alternative<SeatGrant>(body);
    if (!seats) return;
    const PeerMessage message{NodeId("nairobi-a-proxy-1"),
                              "tcp://192.168.100.100:7001", body,
                              std::chrono::hours(500000)};
    sent[proxy] += EncodePeerMessage(message).size();
  });
  queue.RunUntil(queue.Now() + seconds(kMeasuredSeconds));
  for (std::uint64_t& bytes : sent) bytes /= kMeasuredSeconds;
  return sent;
}

class SeatCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SeatCostTest);
  CPPUNIT_TEST(StaysWithinWhatANodeMaySpendOnControl);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StaysWithinWhatANodeMaySpendOnControl() {
    for (const std::uint32_t proxies : {1U, 5U, 7U}) {
      model::FleetOptions options = model::KraanwaterOptions();
      options.proxies_per_zone = proxies;
      const auto sent = BytesAtRest(options);
      const std::uint64_t most = *std::max_element(sent.begin(), sent.end());
      const std::uint64_t all =
          std::accumulate(sent.begin(), sent.end(), std::uint64_t{0});
      std::cerr << "seats with " << proxies << " proxies a zone: mean "
                << all / sent.size() << ", most " << most
                << " B/s sent by a proxy\n";
      CPPUNIT_ASSERT(all > 0);
      CPPUNIT_ASSERT(most <= kMostBytesPerSecond);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SeatCostTest);

}  // namespace
}  // namespace lacewingferry
