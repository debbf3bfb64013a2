#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

#include "tests/support/process_cluster.h"

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kLoadLength{10000};

class ProcessesFalsePromotionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessesFalsePromotionTest);
  CPPUNIT_TEST(DeathOfThePrimarysProxyPromotesNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The only proxy of the primary's zone dies, and with it every connection to
  // the primary and every lease. The other zones can still reach the primary.
  void DeathOfThePrimarysProxyPromotesNobody() {
    ProcessCluster cluster("kraanwater");
    const MemberId primary =
        cluster.Local().PrimaryOf(cluster.Database(), kProcessDeadline);
    cluster.StartLoad(kLoadLength);
    std::this_thread::sleep_for(kLoadLength / 4);
    cluster.Local().Process(ProxyBeside(cluster, primary).Value()).Kill();
    cluster.FinishLoad();
    cluster.Assert("still " + primary.Value(),
                   cluster.Local().PrimaryOf(cluster.Database(),
                                             kProcessDeadline) == primary);
  }

 private:
  static NodeId ProxyBeside(const ProcessCluster& cluster,
                            const MemberId& member) {
    for (const auto& planned : cluster.Plan().members) {
      if (planned.id != member) continue;
      for (const auto& proxy : cluster.Plan().proxies) {
        if (proxy.zone == planned.zone) return proxy.id;
      }
    }
    return NodeId();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesFalsePromotionTest);

}  // namespace
}  // namespace lacewingferry::testing
