#include "lacewingferry/decisions/choice/circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class CircuitBreakerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CircuitBreakerTest);
  CPPUNIT_TEST(OpensOnlyOnConsecutiveFailures);
  CPPUNIT_TEST(AdmitsOneTrialAtATime);
  CPPUNIT_TEST(PausesGrowAndAreRandomized);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpensOnlyOnConsecutiveFailures() {
    CircuitBreaker breaker(1);
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(!breaker.OnFailure(this->now));
    breaker.OnSuccess();
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(!breaker.OnFailure(this->now));
    CPPUNIT_ASSERT(breaker.OnFailure(this->now));
    CPPUNIT_ASSERT(breaker.Open());
  }

  void AdmitsOneTrialAtATime() {
    CircuitBreaker breaker(1);
    this->FailUntilOpen(breaker);
    CPPUNIT_ASSERT(!breaker.TrialDue(this->now));
    const auto later = this->now + milliseconds(500);
    CPPUNIT_ASSERT(breaker.TrialDue(later));
    breaker.OnTrialSent();
    CPPUNIT_ASSERT(!breaker.TrialDue(later));
    CPPUNIT_ASSERT(breaker.OnSuccess());
    CPPUNIT_ASSERT(!breaker.Open());
  }

  void PausesGrowAndAreRandomized() {
    CircuitBreaker one(1);
    CircuitBreaker other(2);
    bool differs = false;
    for (const int most : {500, 1000, 2000, 4000, 8000, 8000}) {
      const milliseconds pause = this->PauseAfterFailedTrial(one);
      CPPUNIT_ASSERT(pause <= milliseconds(most));
      CPPUNIT_ASSERT(pause >= milliseconds(most / 2));
      differs = differs || this->PauseAfterFailedTrial(other) != pause;
    }
    CPPUNIT_ASSERT(differs);
  }

 private:
  void FailUntilOpen(CircuitBreaker& breaker) const {
    while (!breaker.Open()) breaker.OnFailure(this->now);
  }

  milliseconds PauseAfterFailedTrial(CircuitBreaker& breaker) const {
    if (breaker.Open()) {
      breaker.OnTrialSent();
      breaker.OnFailure(this->now);
    } else {
      this->FailUntilOpen(breaker);
    }
    milliseconds pause{0};
    while (!breaker.TrialDue(this->now + pause)) pause += milliseconds(1);
    return pause;
  }

  steady_clock::time_point now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CircuitBreakerTest);

}  // namespace
}  // namespace lacewingferry
