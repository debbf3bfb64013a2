#include "lacewingferry/decisions/forwarding/forward_inbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bench/model/fleet.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** A proxy that owns no connection to the primary of the model. */
constexpr std::size_t kProxyWithoutPrimary = 5;

ForwardRequest Forward(std::uint64_t id, milliseconds since_first_sent) {
  ForwardRequest forward;
  forward.forward_id = id;
  forward.request.kind = RequestKind::kWrite;
  forward.since_first_sent = since_first_sent;
  return forward;
}

class ForwardInboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardInboxTest);
  CPPUNIT_TEST(RunsAResentRequestOnce);
  CPPUNIT_TEST(ReportsUnknownIfFirstSentBeforeStart);
  CPPUNIT_TEST(RemovesExpiredEntries);
  CPPUNIT_TEST(LostMessagesNeitherLoseNorRepeatAWrite);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAResentRequestOnce() {
    const NodeId from("proxy-1");
    const steady_clock::time_point now =
        steady_clock::time_point() + seconds(9);
    CPPUNIT_ASSERT(this->inbox.OnArrival(now, from, Forward(1, {})) ==
                   ForwardArrival::kNew);
    CPPUNIT_ASSERT(
        this->inbox.OnArrival(now, from, Forward(1, milliseconds(300))) ==
        ForwardArrival::kRunning);
    this->inbox.OnOutcome(from, Forward(1, {}), Answered{});
    CPPUNIT_ASSERT(
        this->inbox.OnArrival(now, from, Forward(1, milliseconds(600))) ==
        ForwardArrival::kAnswered);
    CPPUNIT_ASSERT(
        std::holds_alternative<Answered>(this->inbox.StoredOutcome(from, 1)));
  }

  void ReportsUnknownIfFirstSentBeforeStart() {
    const steady_clock::time_point now =
        steady_clock::time_point() + seconds(9);
    this->inbox.Start(now - milliseconds(100));
    CPPUNIT_ASSERT(this->inbox.OnArrival(now, NodeId("proxy-1"),
                                         Forward(1, milliseconds(300))) ==
                   ForwardArrival::kUnknown);
  }

  void RemovesExpiredEntries() {
    steady_clock::time_point now;
    for (std::uint64_t id = 0; id < 1000; ++id) {
      this->inbox.OnArrival(now, NodeId("proxy-1"), Forward(id, {}));
      now += milliseconds(100);
    }
    CPPUNIT_ASSERT(this->inbox.Size() <= 151);
  }

  void LostMessagesNeitherLoseNorRepeatAWrite() {
    model::EventQueue queue;
    model::Fleet fleet(queue, model::WanjiruOptions());
    queue.RunUntil(queue.Now() + seconds(1));
    const auto& zones = fleet.Options().zones;
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
      StatementRequest request;
      request.database = fleet.Database();
      request.kind = RequestKind::kWrite;
      request.statement = {"PUT", {SqlValue("key"), SqlValue("value")}};
      request.timeout = seconds(5);
      const auto before = fleet.Group().Member(fleet.MemberName(0)).log.size();
      fleet.Submit(
          kProxyWithoutPrimary, request, [&answered](const Outcome& outcome) {
            answered += std::holds_alternative<Answered>(outcome) ? 1 : 0;
          });
      // Each round interrupts the link between the two zones at a different
      // point of the exchange.
      queue.RunUntil(queue.Now() + milliseconds(2 + 2 * i));
      fleet.Net().SetCut(zones[0], zones[1], true);
      queue.RunUntil(queue.Now() + milliseconds(100));
      fleet.Net().SetCut(zones[0], zones[1], false);
      queue.RunUntil(queue.Now() + seconds(4));
      const auto after = fleet.Group().Member(fleet.MemberName(0)).log.size();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, after - before);
    }
    CPPUNIT_ASSERT_EQUAL(20, answered);
  }

 private:
  ForwardInbox inbox;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardInboxTest);

}  // namespace
}  // namespace lacewingferry
