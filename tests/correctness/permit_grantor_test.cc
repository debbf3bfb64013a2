#include "lacewingferry/decisions/rate_limit/permit_grantor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

#include "lacewingferry/decisions/rate_limit/permit_holder.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const NodeId kProxy{"p1"};
const NodeId kOther{"p2"};
const CustomerId kCustomer{"kaan"};

std::vector<Customer> Limited(double rate, double burst) {
  return {Customer{kCustomer, {"key"}, 0, RateLimit{rate, burst}}};
}

/** A control leader that has led for long, with a full bucket, and without any
 * tolerance unless one is given. */
struct Control {
  explicit Control(const RateLimit& limit, LimitTolerance tolerance = {})
      : grantor(
            PermitGrantorSettings{tolerance, milliseconds(2500)},
            PermitGrantorHooks{
                [this](const NodeId&, std::uint64_t permits) {
                  this->lost += permits;
                },
                [](const CustomerId&, const RateLimit&, std::uint64_t) {}}) {
    this->grantor.OnLeadership(this->now, true, 1);
    this->grantor.SetCustomers(this->now, Limited(limit.burst, limit.burst));
    this->now += milliseconds(20000);
    this->grantor.SetCustomers(this->now, Limited(limit.rate, limit.burst));
  }

  PermitAccount Ask(const NodeId& from, PermitUse use, std::uint64_t run = 1) {
    use.customer = kCustomer;
    if (use.opening == 0) use.opening = 1;
    return this->grantor
        .OnRequest(this->now, from, PermitRequest{1, run, {std::move(use)}})
        ->accounts.at(0);
  }

  PermitUse Waiting(std::uint32_t operations) const {
    PermitUse use;
    use.wanted = operations;
    use.waiting = operations;
    return use;
  }

  /** All that a proxy can get at once, in as many requests as it takes. */
  std::uint64_t TakeAll(const NodeId& from) {
    PermitUse use = this->Waiting(1000000);
    std::uint64_t granted = 0;
    for (;;) {
      const PermitAccount account = this->Ask(from, use);
      if (account.granted == granted) return granted;
      granted = account.granted;
      use.account = account.account;
    }
  }

  steady_clock::time_point now = steady_clock::time_point() + milliseconds(1);
  std::uint64_t lost = 0;
  PermitGrantor grantor;
};

class PermitGrantorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitGrantorTest);
  CPPUNIT_TEST(AllProxiesTogetherGetTheBurst);
  CPPUNIT_TEST(UsedPermitsAreRefilledAtTheRate);
  CPPUNIT_TEST(ReturnedPermitsMayBeGrantedAgain);
  CPPUNIT_TEST(RepeatedRequestGetsTheSamePermits);
  CPPUNIT_TEST(PermitsOfAnEndedRunStayOut);
  CPPUNIT_TEST(PermitsOfASilentProxyCountAsUsed);
  CPPUNIT_TEST(LoweredLimitCallsPermitsBack);
  CPPUNIT_TEST(NewLeaderLetsOutNoMoreThanTheTolerance);
  CPPUNIT_TEST(LimitThatIsRemovedAndSetAgainStartsEmpty);
  CPPUNIT_TEST(LimitCountsOverItsWindow);
  CPPUNIT_TEST(PermitsAheadOfDemandLeaveSomeForWaitingOperations);
  CPPUNIT_TEST(WithoutOfficeNothingIsGranted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllProxiesTogetherGetTheBurst() {
    Control control({10, 30});
    const std::uint64_t first = control.TakeAll(kProxy);
    CPPUNIT_ASSERT(first > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, first + control.TakeAll(kOther));
  }

  void UsedPermitsAreRefilledAtTheRate() {
    Control control({10, 30});
    control.TakeAll(kProxy);
    PermitUse use = control.Waiting(1000);
    const PermitAccount account = control.Ask(kProxy, use);
    use.account = account.account;
    use.used = account.granted;
    control.Ask(kProxy, use);
    control.now += milliseconds(1000);
    const PermitAccount refilled = control.Ask(kProxy, use);
    CPPUNIT_ASSERT(refilled.granted > account.granted);
    CPPUNIT_ASSERT(refilled.granted <= account.granted + 10);
    CPPUNIT_ASSERT(refilled.next_permit.has_value());
  }

  void ReturnedPermitsMayBeGrantedAgain() {
    Control control({0, 8});
    const std::uint64_t all = control.TakeAll(kProxy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, all);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         control.Ask(kOther, control.Waiting(1)).granted);
    PermitUse back;
    back.account = control.Ask(kProxy, PermitUse()).account;
    back.returned = all;
    control.Ask(kProxy, back);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, control.TakeAll(kOther));
  }

  // The answer to the first request was lost, so the proxy names no account.
  void RepeatedRequestGetsTheSamePermits() {
    Control control({1, 8});
    const PermitAccount first = control.Ask(kProxy, control.Waiting(2));
    const PermitAccount again = control.Ask(kProxy, control.Waiting(2));
    CPPUNIT_ASSERT_EQUAL(first.account, again.account);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.granted);
  }

  void PermitsOfAnEndedRunStayOut() {
    Control control({0, 8});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, control.TakeAll(kProxy));
    const PermitUse use = control.Waiting(8);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.Ask(kProxy, use, 2).granted);
    control.now += milliseconds(2400);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.Ask(kProxy, use, 2).granted);
  }

  void PermitsOfASilentProxyCountAsUsed() {
    Control control({2, 8});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, control.TakeAll(kProxy));
    control.now += milliseconds(2400);
    control.grantor.OnTick(control.now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.TakeAll(kOther));
    control.now += milliseconds(200);
    control.grantor.OnTick(control.now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, control.lost);
    // From the end of the permits on the bucket fills up again at the rate.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.TakeAll(kOther));
    control.now += milliseconds(1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, control.TakeAll(kOther));
  }

  void LoweredLimitCallsPermitsBack() {
    Control control({10, 40});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, control.TakeAll(kProxy));
    control.grantor.SetCustomers(control.now, Limited(1, 4));
    PermitUse use = control.Waiting(40);
    use.account = control.Ask(kProxy, PermitUse()).account;
    const PermitAccount lowered = control.Ask(kProxy, use);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, lowered.keep.value());
    use.returned = lowered.granted - *lowered.keep;
    const PermitAccount kept = control.Ask(kProxy, use);
    CPPUNIT_ASSERT(!kept.keep);
    CPPUNIT_ASSERT_EQUAL(lowered.granted, kept.granted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.TakeAll(kOther));
  }

  void NewLeaderLetsOutNoMoreThanTheTolerance() {
    Control strict({1000, 1000});
    strict.grantor.OnLeadership(strict.now, true, 2);
    strict.now += milliseconds(2400);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, strict.TakeAll(kProxy));
    Control tolerant({1000, 1000}, {milliseconds(5000), 0.1, 40});
    tolerant.grantor.OnLeadership(tolerant.now, true, 2);
    tolerant.now += milliseconds(2400);
    const std::uint64_t out = tolerant.TakeAll(kProxy);
    CPPUNIT_ASSERT(out > 0);
    // With a second change of the leader, within the tolerance and what the
    // capacity leaves of the burst.
    const LimitTolerance tolerance{milliseconds(5000), 0.1, 40};
    const RateLimit limit{1000, 1000};
    const BucketSize size = tolerance.SizeFor(limit);
    CPPUNIT_ASSERT(size.capacity + 2 * static_cast<double>(out) +
                       size.refill * 5 <=
                   tolerance.Allowed(limit) + tolerance.Extra(limit));
  }

  void LimitThatIsRemovedAndSetAgainStartsEmpty() {
    Control control({1000, 1000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, control.TakeAll(kProxy));
    control.grantor.SetCustomers(control.now, {});
    control.grantor.SetCustomers(control.now, Limited(1000, 1000));
    control.now += milliseconds(2400);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, control.TakeAll(kOther));
  }

  // A steady customer gets what the limit allows in each window, of which the
  // burst is a part.
  void LimitCountsOverItsWindow() {
    for (const RateLimit& limit : {RateLimit{5, 5}, RateLimit{400, 400},
                                   RateLimit{50, 2}, RateLimit{1, 60}}) {
      for (const double slack : {0.0, 20.0}) {
        const LimitTolerance tolerance{milliseconds(5000), slack / 200, slack};
        const BucketSize size = tolerance.SizeFor(limit);
        CPPUNIT_ASSERT(size.capacity >= 1);
        CPPUNIT_ASSERT(size.refill >= limit.rate);
        CPPUNIT_ASSERT(
            size.capacity + 2 * size.overlap_capacity + size.refill * 5 <=
            tolerance.Allowed(limit) + tolerance.Extra(limit) + 1e-6);
      }
    }
  }

  void PermitsAheadOfDemandLeaveSomeForWaitingOperations() {
    Control control({10, 30});
    for (int i = 0; i < 40; ++i) {
      PermitUse ahead;
      ahead.wanted = 5;
      control.Ask(NodeId("p" + std::to_string(i + 10)), ahead);
    }
    CPPUNIT_ASSERT(control.Ask(kOther, control.Waiting(3)).granted >= 3);
  }

  void WithoutOfficeNothingIsGranted() {
    Control control({10, 30});
    control.grantor.OnLeadership(control.now, false, 2);
    CPPUNIT_ASSERT(
        !control.grantor.OnRequest(control.now, kProxy, PermitRequest()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitGrantorTest);

}  // namespace
}  // namespace lacewingferry
