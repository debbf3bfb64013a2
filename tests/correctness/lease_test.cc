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

/** A grantor and one holder. The test passes messages between them. */
class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(CountsFromSendingTheRenewal);
  CPPUNIT_TEST(ExpiresAtTheHolderFirst);
  CPPUNIT_TEST(IsNotRenewedForAnEndedTerm);
  CPPUNIT_TEST(EndsWhenReleased);
  CPPUNIT_TEST(IgnoresAGrantReceivedAfterTheRelease);
  CPPUNIT_TEST(CoversOnlyListedDatabases);
  CPPUNIT_TEST(WaitsForAFormerLeadersLeases);
  CPPUNIT_TEST(RefusesAnOutdatedMembersRevision);
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
    hooks.send_renewal = [this](const LeaseRenewal& r) { this->renewal = r; };
    hooks.send_released = [this](const LeaseReleased& r) {
      this->released = r;
    };
    hooks.on_lease = [this](auto, const DatabaseStamp&, auto end) {
      this->until = end;
    };
    hooks.release_term = [](auto, const DatabaseId&, std::uint64_t) {};
    this->holder.emplace(std::move(hooks), 1);
  }

  void CountsFromSendingTheRenewal() {
    this->Renew(Stamp(1));
    const auto sent = this->now - 2 * kLatency;
    CPPUNIT_ASSERT(this->until ==
                   sent + this->timing.UsableDuration(this->timing.duration));
    CPPUNIT_ASSERT(
        this->holder->Covers(this->until - milliseconds(1), kDatabase, 1));
    CPPUNIT_ASSERT(!this->holder->Covers(this->until, kDatabase, 1));
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 2));
  }

  void ExpiresAtTheHolderFirst() {
    CPPUNIT_ASSERT(rc::check([this] {
      this->setUp();
      this->holder->SetDatabases(this->now, {Stamp(1)});
      const auto renewal_delay = milliseconds(*rc::gen::inRange(0, 500));
      const auto grant_delay = milliseconds(*rc::gen::inRange(0, 500));
      const auto grant = this->grantor->OnRenewal(this->now + renewal_delay,
                                                  kProxy, this->renewal);
      this->holder->OnGrant(this->now + renewal_delay + grant_delay, *grant);
      this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
      const auto expiry = this->grantor->EarlierLeasesExpireAt(Stamp(2));
      // The holder's clock may be slow by almost 1 part in 100.
      const auto skew = (expiry - this->now) / 101;
      RC_ASSERT(!this->holder->Covers(expiry - skew, kDatabase, 1));
    }));
  }

  void IsNotRenewedForAnEndedTerm() {
    this->Renew(Stamp(1));
    this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
    const auto expiry = this->grantor->EarlierLeasesExpireAt(Stamp(2));
    CPPUNIT_ASSERT(expiry == this->now - kLatency + this->timing.duration);
    this->holder->RenewNow(this->now);
    this->DeliverRenewal();
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    CPPUNIT_ASSERT(expiry == this->grantor->EarlierLeasesExpireAt(Stamp(2)));
  }

  void EndsWhenReleased() {
    this->Renew(Stamp(1));
    this->terms.Apply({BeginTerm{kDatabase, 1, 2, ""}});
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        this->grantor->EarlierHolders(this->now, Stamp(2)).size());
    this->holder->OnRelease(this->now, LeaseRelease{kDatabase, 2});
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    this->grantor->OnReleased(this->now, kProxy, this->released);
    CPPUNIT_ASSERT(this->grantor->EarlierLeasesExpireAt(Stamp(2)) <= this->now);
    CPPUNIT_ASSERT(this->grantor->EarlierHolders(this->now, Stamp(2)).empty());
  }

  void IgnoresAGrantReceivedAfterTheRelease() {
    this->holder->SetDatabases(this->now, {Stamp(1)});
    const auto grant =
        this->grantor->OnRenewal(this->now, kProxy, this->renewal);
    this->holder->OnRelease(this->now, LeaseRelease{kDatabase, 2});
    this->holder->OnGrant(this->now, *grant);
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
  }

  void CoversOnlyListedDatabases() {
    this->holder->SetDatabases(this->now, {});
    this->DeliverRenewal();
    this->holder->SetDatabases(this->now, {Stamp(1)});
    this->renewal.lists_databases = false;
    this->renewal.databases.clear();
    this->DeliverRenewal();
    CPPUNIT_ASSERT(!this->holder->Covers(this->now, kDatabase, 1));
    // The grantor asked for the database list, and the holder sent it at once.
    CPPUNIT_ASSERT(this->renewal.lists_databases);
    this->DeliverRenewal();
    CPPUNIT_ASSERT(this->holder->Covers(this->now, kDatabase, 1));
  }

  void WaitsForAFormerLeadersLeases() {
    this->Renew(Stamp(1));
    LeaseGrantor new_leader(this->terms);
    CPPUNIT_ASSERT(!new_leader.OnRenewal(this->now, kProxy, this->renewal));
    new_leader.OnLeadership(this->now, true);
    CPPUNIT_ASSERT(new_leader.EarlierLeasesExpireAt(Stamp(2)) ==
                   this->now + this->timing.duration);
  }

  void RefusesAnOutdatedMembersRevision() {
    this->Renew(Stamp(1));
    this->terms.Apply({AddMember{kDatabase, 1, 1, MemberId("d")}});
    CPPUNIT_ASSERT(this->grantor->EarlierLeasesExpireAt(Stamp(1, 2)) >
                   this->now);
    const auto covered_until = this->until;
    this->holder->RenewNow(this->now);
    this->DeliverRenewal();
    CPPUNIT_ASSERT(this->until == covered_until);
    this->Renew(Stamp(1, 2));
    CPPUNIT_ASSERT(this->until > covered_until);
  }

 private:
  void DeliverRenewal() {
    const auto grant =
        this->grantor->OnRenewal(this->now + kLatency, kProxy, this->renewal);
    this->now += 2 * kLatency;
    this->holder->OnGrant(this->now, *grant);
  }

  void Renew(const DatabaseStamp& stamp) {
    this->holder->SetDatabases(this->now, {stamp});
    this->DeliverRenewal();
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
