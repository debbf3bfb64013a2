#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "lacewingferry/decisions/rate_limit/permit_grantor.h"
#include "lacewingferry/decisions/rate_limit/permit_holder.h"

namespace lacewingferry {
namespace {

using model::EventQueue;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

const CustomerId kCustomer{"kaan"};
constexpr milliseconds kTick{10};
constexpr milliseconds kPermitDuration{1800};
/** The windows that are looked at. */
constexpr milliseconds kWindow{5000};
constexpr milliseconds kDay{30000};

/** What a series of failures looks like. */
struct Plan {
  unsigned seed = 1;
  RateLimit limit{20, 20};
  LimitTolerance tolerance{kWindow, 0.1, 20};
  std::size_t proxies = 6;
  /** Operations per second that clients ask for at all proxies together. */
  double demand = 40;
  bool failures = true;
};

/** Control processes, of which one leads at a time, and proxies, before a
 * network that delays and loses messages. Operations start wherever a proxy has
 * a permit. */
class Fleet {
 public:
  explicit Fleet(const Plan& series_plan)
      : plan(series_plan), random(series_plan.seed) {
    for (std::size_t i = 0; i < this->plan.proxies; ++i) this->StartProxy(i);
    this->BeginOffice();
    this->SetLimit(this->plan.limit);
    this->Tick();
    if (this->plan.failures) this->FailLater();
  }

  void Run(milliseconds length) {
    this->queue.RunUntil(this->queue.Now() + length);
  }

  void SetLimit(const RateLimit& limit) {
    this->limits.push_back({this->queue.Now(), limit});
    this->customers = {Customer{kCustomer, {}, 0, limit}};
    this->leader->SetCustomers(this->queue.Now(), this->customers);
  }

  std::size_t Started() const { return this->started.size(); }

  /** The most operations by which a window exceeded what it may hold. */
  double WorstExcess() const {
    double worst = -1e9;
    for (auto first = this->started.begin(); first != this->started.end();
         ++first) {
      const auto end =
          std::upper_bound(first, this->started.end(), *first + kWindow);
      const double allowed = this->AllowedIn(*first);
      worst = std::max(
          worst, static_cast<double>(std::distance(first, end)) - allowed);
    }
    return worst;
  }

 private:
  struct Proxy {
    std::uint64_t run = 0;
    std::unique_ptr<PermitHolder> holder;
    steady_clock::time_point frozen_until;
    steady_clock::time_point cut_until;
  };
  struct LimitChange {
    steady_clock::time_point at;
    RateLimit limit;
  };

  /** The highest limit in force in the window, or lately enough before it that
   * permits of it may be out. */
  double AllowedIn(steady_clock::time_point begin) const {
    double most = 0;
    for (std::size_t i = 0; i < this->limits.size(); ++i) {
      const bool last = i + 1 == this->limits.size();
      const auto lasts_until = last ? steady_clock::time_point::max()
                                    : this->limits[i + 1].at + kPermitDuration;
      const bool applies =
          this->limits[i].at <= begin + kWindow && lasts_until > begin;
      if (!applies) continue;
      const RateLimit& limit = this->limits[i].limit;
      LimitTolerance judged = this->plan.tolerance;
      judged.window = kWindow;
      most = std::max(most, judged.Allowed(limit) + judged.Extra(limit));
    }
    return most;
  }

  int Below(int bound) {
    return static_cast<int>(this->random() % static_cast<unsigned>(bound));
  }

  void StartProxy(std::size_t number) {
    if (number >= this->proxies.size()) this->proxies.resize(number + 1);
    Proxy& proxy = this->proxies[number];
    ++proxy.run;
    proxy.holder = std::make_unique<PermitHolder>();
    proxy.holder->SetCustomers({Customer{kCustomer, {}, 0, RateLimit{1, 1}}});
  }

  void BeginOffice() {
    if (this->leader) {
      this->leader->OnLeadership(this->queue.Now(), false, this->term);
    }
    PermitGrantorHooks hooks{
        [](const NodeId&, std::uint64_t) {},
        [](const CustomerId&, const RateLimit&, std::uint64_t) {}};
    this->leader = std::make_shared<PermitGrantor>(
        PermitGrantorSettings{this->plan.tolerance, kPermitDuration}, hooks);
    this->leader->SetCustomers(this->queue.Now(), this->customers);
    this->leader->OnLeadership(this->queue.Now(), true, ++this->term);
  }

  milliseconds Delay() {
    const bool slow = this->plan.failures && this->Below(20) == 0;
    return milliseconds(slow ? this->Below(3000) : 1 + this->Below(40));
  }

  bool Lost() { return this->plan.failures && this->Below(10) == 0; }

  void Send(std::size_t number, const PermitRequest& request) {
    if (this->Lost()) return;
    // A message goes to the process that led when it was sent.
    const std::shared_ptr<PermitGrantor> to = this->leader;
    this->queue.After(this->Delay(), [this, number, request, to] {
      const auto grant = to->OnRequest(this->queue.Now(),
                                       NodeId(std::to_string(number)), request);
      if (!grant || this->Lost()) return;
      this->queue.After(this->Delay(), [this, number, grant] {
        this->Deliver(number, *grant);
      });
    });
  }

  void Deliver(std::size_t number, const PermitGrant& grant) {
    Proxy& proxy = this->proxies[number];
    const auto now = this->queue.Now();
    if (proxy.frozen_until > now) {
      this->queue.After(
          std::chrono::ceil<milliseconds>(proxy.frozen_until - now),
          [this, number, grant] { this->Deliver(number, grant); });
      return;
    }
    if (grant.incarnation == proxy.run) proxy.holder->OnGrant(now, grant);
  }

  void Tick() {
    const auto now = this->queue.Now();
    this->leader->OnTick(now);
    for (std::size_t i = 0; i < this->proxies.size(); ++i) this->Act(i);
    this->queue.After(kTick, [this] { this->Tick(); });
  }

  void Act(std::size_t number) {
    Proxy& proxy = this->proxies[number];
    const auto now = this->queue.Now();
    if (proxy.frozen_until > now) return;
    const std::chrono::duration<double> tick = kTick;
    const double expected = this->plan.demand * tick.count() /
                            static_cast<double>(this->plan.proxies);
    std::size_t waiting = 0;
    if (this->Below(1000000) < static_cast<int>(expected * 1000000)) {
      proxy.holder->OnArrival(now, kCustomer);
      if (proxy.holder->TryTake(now, kCustomer)) {
        this->started.push_back(now);
      } else {
        waiting = 1;
      }
    }
    proxy.holder->SetWaiting(kCustomer, waiting);
    auto request = proxy.holder->MakeRequest(now);
    if (!request || proxy.cut_until > now) return;
    request->incarnation = proxy.run;
    this->Send(number, *request);
  }

  void FailLater() {
    this->queue.After(milliseconds(200 + this->Below(1500)), [this] {
      this->Fail();
      this->FailLater();
    });
  }

  void Fail() {
    const auto now = this->queue.Now();
    const auto number = static_cast<std::size_t>(
        this->Below(static_cast<int>(this->proxies.size())));
    Proxy& proxy = this->proxies[number];
    const milliseconds length(this->Below(4000));
    switch (this->Below(5)) {
      case 0:
        proxy.cut_until = now + length;
        break;
      case 1:
        proxy.frozen_until = now + length;
        break;
      case 2:
        this->StartProxy(number);
        break;
      case 3:
        // Three changes of the leader within the life of a permit are beyond
        // what the tolerance is divided for.
        if (now < this->next_office) return;
        this->next_office = now + kPermitDuration / 2;
        this->BeginOffice();
        break;
      default:
        if (this->Below(3) > 0) return;
        this->SetLimit(RateLimit{static_cast<double>(1 + this->Below(40)),
                                 static_cast<double>(1 + this->Below(40))});
        break;
    }
  }

  Plan plan;
  std::mt19937 random;
  EventQueue queue;
  std::vector<Proxy> proxies;
  std::vector<Customer> customers;
  std::shared_ptr<PermitGrantor> leader;
  std::uint64_t term = 0;
  steady_clock::time_point next_office;
  std::vector<LimitChange> limits;
  std::vector<steady_clock::time_point> started;
};

// Guards against a limit that is exceeded: by proxies that are cut off,
// suspended or started again, by messages that are lost, late or doubled, by
// changes of the control leader and by lowered limits.
class PermitPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitPropertyTest);
  CPPUNIT_TEST(NoWindowExceedsTheLimit);
  CPPUNIT_TEST(NoWindowExceedsALimitWithoutTolerance);
  CPPUNIT_TEST(CustomerGetsWhatItsLimitAllows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoWindowExceedsTheLimit() {
    CPPUNIT_ASSERT(rc::check("no window exceeds the limit", [](unsigned seed) {
      Plan plan;
      plan.seed = seed;
      plan.demand = 10 + static_cast<double>(seed % 200);
      Fleet fleet(plan);
      fleet.Run(kDay);
      RC_ASSERT(fleet.WorstExcess() <= 0);
    }));
  }

  void NoWindowExceedsALimitWithoutTolerance() {
    CPPUNIT_ASSERT(rc::check("without tolerance", [](unsigned seed) {
      Plan plan;
      plan.seed = seed;
      plan.tolerance = LimitTolerance();
      if (seed % 2 == 0) plan.tolerance.window = kWindow;
      Fleet fleet(plan);
      fleet.Run(kDay);
      RC_ASSERT(fleet.WorstExcess() <= 0);
    }));
  }

  // A customer that asks for twice its limit is served at its limit.
  void CustomerGetsWhatItsLimitAllows() {
    for (const double rate : {5.0, 20.0, 200.0}) {
      Plan plan;
      plan.limit = RateLimit{rate, rate};
      plan.demand = rate * 2;
      plan.failures = false;
      Fleet fleet(plan);
      fleet.Run(kDay);
      const std::chrono::duration<double> day = kDay;
      CPPUNIT_ASSERT(static_cast<double>(fleet.Started()) >=
                     0.85 * rate * day.count());
      CPPUNIT_ASSERT(fleet.WorstExcess() <= 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitPropertyTest);

}  // namespace
}  // namespace lacewingferry
