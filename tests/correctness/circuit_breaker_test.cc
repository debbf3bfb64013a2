#include "lacewingferry/decisions/choice/circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class CircuitBreakerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CircuitBreakerTest);
  CPPUNIT_TEST(OpensOnlyOnARunOfBadAnswers);
  CPPUNIT_TEST(LetsOneRequestTryAtATime);
  CPPUNIT_TEST(PausesGrowAndAreRandomized);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpensOnlyOnARunOfBadAnswers() {
    CircuitBreaker breaker(1);
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(!breaker.OnBad(this->now));
    breaker.OnGood();
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT(!breaker.OnBad(this->now));
    CPPUNIT_ASSERT(breaker.OnBad(this->now));
    CPPUNIT_ASSERT(breaker.Open());
  }

  void LetsOneRequestTryAtATime() {
    CircuitBreaker breaker(1);
    this->OpenIt(breaker);
    CPPUNIT_ASSERT(!breaker.TryDue(this->now));
    const auto later = this->now + milliseconds(500);
    CPPUNIT_ASSERT(breaker.TryDue(later));
    breaker.OnTry();
    CPPUNIT_ASSERT(!breaker.TryDue(later));
    CPPUNIT_ASSERT(breaker.OnGood());
    CPPUNIT_ASSERT(!breaker.Open());
  }

  void PausesGrowAndAreRandomized() {
    CircuitBreaker one(1);
    CircuitBreaker other(2);
    bool differs = false;
    for (const int most : {500, 1000, 2000, 4000, 8000, 8000}) {
      const milliseconds pause = this->PauseAfterBadTry(one);
      CPPUNIT_ASSERT(pause <= milliseconds(most));
      CPPUNIT_ASSERT(pause >= milliseconds(most / 2));
      differs = differs || this->PauseAfterBadTry(other) != pause;
    }
    CPPUNIT_ASSERT(differs);
  }

 private:
  void OpenIt(CircuitBreaker& breaker) const {
    while (!breaker.Open()) breaker.OnBad(this->now);
  }

  milliseconds PauseAfterBadTry(CircuitBreaker& breaker) const {
    if (breaker.Open()) {
      breaker.OnTry();
      breaker.OnBad(this->now);
    } else {
      this->OpenIt(breaker);
    }
    milliseconds pause{0};
    while (!breaker.TryDue(this->now + pause)) pause += milliseconds(1);
    return pause;
  }

  steady_clock::time_point now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CircuitBreakerTest);

}  // namespace
}  // namespace lacewingferry
