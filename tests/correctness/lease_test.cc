#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <chrono>
#include <optional>
#include <vector>

#include "lacewingferry/decisions/lease/lease_grantor.h"
#include "lacewingferry/decisions/lease/lease_holder.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const DatabaseId kDatabase("permit-db-1");
const NodeId kProxy("proxy-1");
constexpr milliseconds kLatency{20};

DatabaseStamp Stamp(std::uint64_t term, std::uint64_t members = 1) {
  return DatabaseStamp{kDatabase, term, members};
}

/** A grantor and one holder; the test carries the messages. */
class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(CountsFromTheSending);
  CPPUNIT_TEST(EndsAtTheHolderFirst);
  CPPUNIT_TEST(IsNotRenewedAfterTheTerm);
  CPPUNIT_TEST(IsFreeOnceReleased);
  CPPUNIT_TEST(IgnoresAGrantThatTheReleaseOvertook);
  CPPUNIT_TEST(CoversOnlyWhatWasListed);
  CPPUNIT_TEST(WaitsForAFormerLeadersLeases);
  CPPUNIT_TEST(RefusesOutdatedMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->terms = DatabaseTerms();
    this->terms.Apply(
        {AdoptDatabase{kDatabase,
                       1,
                       MemberId("a"),
                       {MemberId("a"), MemberId("b"), MemberId("c")},
                       3}});
    this->grantor.emplace(this->terms);
    this->grantor->OnLeadership(this->start, true);
    this->now = this->start + this->timing.duration;
    LeaseHolderHooks hooks;
    hooks.renew = [this](const LeaseRenewal& r) { this->renewal = r; };
    hooks.released = [this](const LeaseReleased& r) { this->released = r; };
    hooks.on_lease = [this](auto, const DatabaseStamp&, auto end) {
      this->until = end;
    };
    hooks.release_term = [](auto, const DatabaseId&, std::uint64_t) {};
    this->holder.emplace(std::move(hooks), 1);
  }

  void CountsFromTheSending() {
    this->Renew(Stamp(1));
    const auto sent = this->now - 2 * kLatency;
    CPPUNIT_ASSERT(this->until ==
                   sent + this->timing.UsableFor(this->timing.duration));
    CPPUNIT_ASSERT(
        this->holder->Covers(this->until - milliseconds(1), kDatabase, 1));
    CPPUNIT_ASSERT(!this->holder->Covers(this->until, kDatabase, 1));
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 2));
  }

  void EndsAtTheHolderFirst() {
    CPPUNIT_ASSERT(rc::check([this] {
      this->setUp();
      this->holder->SetDatabases(this->now, {Stamp(1)});
      const auto there = milliseconds(*rc::gen::inRange(0, 500));
      const auto back = milliseconds(*rc::gen::inRange(0, 500));
      const auto grant =
          this->grantor->OnRenewal(this->now + there, kProxy, this->renewal);
      this->holder->OnGrant(this->now + there + back, *grant);
      this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
      const auto free = this->grantor->FreeAt(Stamp(2));
      // The holder's clock may be slow by nearly one in a hundred.
      const auto skew = (free - this->now) / 101;
      RC_ASSERT(!this->holder->Covers(free - skew, kDatabase, 1));
    }));
  }

  void IsNotRenewedAfterTheTerm() {
    this->Renew(Stamp(1));
    this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
    const auto free = this->grantor->FreeAt(Stamp(2));
    CPPUNIT_ASSERT(free == this->now - kLatency + this->timing.duration);
    this->holder->RenewNow(this->now);
    this->Answer();
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    CPPUNIT_ASSERT(free == this->grantor->FreeAt(Stamp(2)));
  }

  void IsFreeOnceReleased() {
    this->Renew(Stamp(1));
    this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->grantor->Holders(this->now, Stamp(2)).size());
    this->holder->OnRelease(this->now, LeaseRelease{kDatabase, 2});
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    this->grantor->OnReleased(this->now, kProxy, this->released);
    CPPUNIT_ASSERT(this->grantor->FreeAt(Stamp(2)) <= this->now);
    CPPUNIT_ASSERT(this->grantor->Holders(this->now, Stamp(2)).empty());
  }

  void IgnoresAGrantThatTheReleaseOvertook() {
    this->holder->SetDatabases(this->now, {Stamp(1)});
    const auto grant =
        this->grantor->OnRenewal(this->now, kProxy, this->renewal);
    this->holder->OnRelease(this->now, LeaseRelease{kDatabase, 2});
    this->holder->OnGrant(this->now, *grant);
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
  }

  void CoversOnlyWhatWasListed() {
    this->holder->SetDatabases(this->now, {});
    this->Answer();
    this->holder->SetDatabases(this->now, {Stamp(1)});
    this->renewal.lists_databases = false;
    this->renewal.databases.clear();
    this->Answer();
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    // The grantor asked for the list, and the holder sent it at once.
    CPPUNIT_ASSERT(this->renewal.lists_databases);
    this->Answer();
    CPPUNIT_ASSERT(this->holder->Covers(this->now, kDatabase, 1));
  }

  void WaitsForAFormerLeadersLeases() {
    this->Renew(Stamp(1));
    LeaseGrantor next(this->terms);
    CPPUNIT_ASSERT(!next.OnRenewal(this->now, kProxy, this->renewal));
    next.OnLeadership(this->now, true);
    CPPUNIT_ASSERT(next.FreeAt(Stamp(2)) == this->now + this->timing.duration);
  }

  void RefusesOutdatedMembers() {
    this->Renew(Stamp(1));
    this->terms.Apply({AddMember{kDatabase, 1, 1, MemberId("d")}});
    CPPUNIT_ASSERT(this->grantor->FreeAt(Stamp(1, 2)) > this->now);
    const auto covered_until = this->until;
    this->holder->RenewNow(this->now);
    this->Answer();
    CPPUNIT_ASSERT(this->until == covered_until);
    this->Renew(Stamp(1, 2));
    CPPUNIT_ASSERT(this->until > covered_until);
  }

 private:
  void Answer() {
    const auto grant =
        this->grantor->OnRenewal(this->now + kLatency, kProxy, this->renewal);
    this->now += 2 * kLatency;
    this->holder->OnGrant(this->now, *grant);
  }

  void Renew(const DatabaseStamp& stamp) {
    this->holder->SetDatabases(this->now, {stamp});
    this->Answer();
  }

  LeaseTiming timing;
  steady_clock::time_point start{std::chrono::hours(1)};
  steady_clock::time_point now;
  steady_clock::time_point until;
  DatabaseTerms terms;
  std::optional<LeaseGrantor> grantor;
  std::optional<LeaseHolder> holder;
  LeaseRenewal renewal;
  LeaseReleased released;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

}  // namespace
}  // namespace lacewingferry
