#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/model/fleet.h"
#include "bench/model/history_checker.h"

namespace lacewingferry {
namespace {

using model::Told;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** The faults that strike once, at every step of a request's way. */
enum class Fault : std::uint8_t {
  kPrimaryRestarts,
  kPrimaryReplaced,
  kOwnersDie,
  kPrimaryCutOff,
};

/** What a caller asks. */
enum class Ask : std::uint8_t { kWrite, kIdentifiedWrite, kTransaction };

/** One request during which one fault strikes after a delay. */
class FaultRun {
 public:
  FaultRun(Ask asked, Fault fault, std::chrono::nanoseconds delay,
           std::size_t proxy)
      : ask(asked), entry(proxy) {
    auto options = model::KraanwaterOptions();
    options.proxies_per_zone = 2;
    options.group.service_time = [](const MemberBatch&) {
      return std::chrono::nanoseconds(milliseconds(3));
    };
    this->fleet = std::make_unique<model::Fleet>(this->queue, options);
    this->Pass(milliseconds(300));
    this->work.name = "w";
    this->work.keys = {"w/a"};
    this->queue.After(delay, [this, fault] { this->Strike(fault); });
    this->Start();
    this->Pass(seconds(4));
  }

  model::History Result() {
    model::History history;
    if (this->told_at_all) history.works = {this->work};
    for (const auto& member : this->fleet->Group().Members()) {
      if (!member.second.primary || member.second.term != this->term) continue;
      for (const auto& entry_of : member.second.log) {
        history.log.push_back(entry_of.puts);
      }
    }
    return history;
  }

  bool Answered() const { return this->work.told == Told::kAnswered; }
  bool Refused() const { return this->work.told == Told::kNotRun; }

 private:
  void Pass(std::chrono::nanoseconds time) {
    this->queue.RunUntil(
        this->queue.Now() +
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
  }

  StatementRequest Request(RequestKind kind) {
    StatementRequest request;
    request.database = this->fleet->Database();
    request.kind = kind;
    request.timeout = milliseconds(1500);
    return request;
  }

  void Start() {
    if (this->ask == Ask::kTransaction) {
      this->fleet->Submit(this->entry, this->Request(RequestKind::kBegin),
                          [this](const Outcome& o) { this->OnBegun(o); });
      return;
    }
    StatementRequest write = this->Put();
    if (this->ask == Ask::kIdentifiedWrite) write.request_id = RequestId("w");
    this->Last(write);
  }

  StatementRequest Put() {
    StatementRequest write = this->Request(RequestKind::kWrite);
    write.statement = {"PUT", {SqlValue("w/a"), SqlValue("value of w/a")}};
    return write;
  }

  void OnBegun(const Outcome& outcome) {
    const auto* begun = std::get_if<lacewingferry::Answered>(&outcome);
    if (begun == nullptr) {
      this->Note(outcome);
      return;
    }
    StatementRequest put = this->Put();
    put.transaction = begun->transaction;
    this->fleet->Submit(
        this->entry, put,
        [this, transaction = begun->transaction](const Outcome& o) {
          if (!std::holds_alternative<lacewingferry::Answered>(o)) {
            this->Note(o);
            return;
          }
          StatementRequest commit = this->Request(RequestKind::kCommit);
          commit.transaction = transaction;
          this->Last(commit);
        });
  }

  void Last(const StatementRequest& request) {
    this->fleet->Submit(this->entry, request,
                        [this](const Outcome& o) { this->Note(o); });
  }

  void Note(const Outcome& outcome) {
    this->told_at_all = true;
    this->work.told = Told::kUnknown;
    if (std::holds_alternative<NotRun>(outcome)) {
      this->work.told = Told::kNotRun;
    } else if (std::holds_alternative<lacewingferry::Answered>(outcome)) {
      this->work.told = Told::kAnswered;
    }
  }

  void Strike(Fault fault) {
    model::FakeGroup& group = this->fleet->Group();
    const MemberId first = this->fleet->MemberName(0);
    if (fault == Fault::kPrimaryRestarts) {
      group.Kill(first);
      this->queue.After(milliseconds(100),
                        [&group, first] { group.Restart(first); });
      return;
    }
    if (fault == Fault::kOwnersDie) {
      for (std::size_t i = 0; i < 2; ++i) {
        if (i != this->entry) this->fleet->KillProxy(i);
      }
      this->fleet->Publish(1, first);
      return;
    }
    if (fault == Fault::kPrimaryCutOff) {
      this->fleet->Net().SetCut(AvailabilityZone("nh-a"),
                                AvailabilityZone("gl-a"), true);
      this->fleet->Net().SetCut(AvailabilityZone("nh-a"),
                                AvailabilityZone("nb-a"), true);
    }
    this->queue.After(milliseconds(20), [this] { this->Replace(); });
  }

  /** Promotes the longer log of the two other members. */
  void Replace() {
    model::FakeGroup& group = this->fleet->Group();
    this->term = 2;
    const MemberId a = this->fleet->MemberName(1);
    const MemberId b = this->fleet->MemberName(2);
    group.Fence(a, 2);
    group.Fence(b, 2);
    const bool first = group.Member(b).Durable() <= group.Member(a).Durable();
    const MemberId& chosen = first ? a : b;
    group.Promote(chosen, 2);
    group.Follow(first ? b : a, 2, chosen);
    this->fleet->Publish(2, chosen);
  }

  Ask ask;
  std::size_t entry;
  model::EventQueue queue;
  std::unique_ptr<model::Fleet> fleet;
  model::HistoryWork work;
  bool told_at_all = false;
  std::uint64_t term = 1;
};

class FaultPointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultPointTest);
  CPPUNIT_TEST(NoFaultPointBreaksAPromise);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoFaultPointBreaksAPromise() {
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unsettled = 0;
    for (const Ask ask :
         {Ask::kWrite, Ask::kIdentifiedWrite, Ask::kTransaction}) {
      for (const Fault fault :
           {Fault::kPrimaryRestarts, Fault::kPrimaryReplaced, Fault::kOwnersDie,
            Fault::kPrimaryCutOff}) {
        for (const std::size_t proxy : {std::size_t{0}, std::size_t{3}}) {
          for (int step = 0; step < 400; ++step) {
            FaultRun run(ask, fault, step * microseconds(250), proxy);
            const auto broken = CheckHistory(run.Result());
            if (!broken.empty()) {
              CPPUNIT_FAIL("ask " + std::to_string(static_cast<int>(ask)) +
                           " fault " + std::to_string(static_cast<int>(fault)) +
                           " proxy " + std::to_string(proxy) + " step " +
                           std::to_string(step) + ": " + broken[0].detail);
            }
            ++(run.Answered() ? answered : run.Refused() ? refused : unsettled);
          }
        }
      }
    }
    // Each outcome has to occur, else the steps miss the request's way.
    CPPUNIT_ASSERT(answered > 0 && refused > 0 && unsettled > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultPointTest);

}  // namespace
}  // namespace lacewingferry
