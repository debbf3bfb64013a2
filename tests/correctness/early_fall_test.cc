#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <utility>

#include "bench/model/failover_fleet.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

/** The primary falls when control was told of two members of three. */
class EarlyFallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyFallTest);
  CPPUNIT_TEST(AMemberThatIsHeardLateHelpsToReplaceThePrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AMemberThatIsHeardLateHelpsToReplaceThePrimary() {
    model::EventQueue queue;
    queue.RunUntil(steady_clock::time_point(seconds(1)));
    model::FailoverFleetOptions options;
    options.places = model::KraanwaterOptions();
    options.places.proxies_per_zone = 2;
    options.codec = MakeLogCodec();
    model::FailoverFleet fleet(queue, std::move(options));
    fleet.CutZone(2, true);
    queue.RunUntil(queue.Now() + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.Entry()->members.size());
    fleet.Group().Kill(fleet.MemberOf(0));
    fleet.CutZone(2, false);
    queue.RunUntil(queue.Now() + seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.Entry()->members.size());
    CPPUNIT_ASSERT(fleet.Entry()->primary != fleet.MemberOf(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyFallTest);

}  // namespace
}  // namespace lacewingferry
