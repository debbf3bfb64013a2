#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bench/model/configuration_run.h"
#include "bench/model/failover_trial.h"
#include "bench/model/planned_run.h"
#include "bench/model/traffic_chaos.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry {
namespace {

using model::ChaosOptions;
using model::FailoverFleetOptions;
using model::FailoverScenario;
using model::FailoverTrialOptions;
using model::Promise;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** Seeds within which a fault must be caught. */
constexpr std::uint64_t kMostSeeds = 100;

/** The promises that the run of a seed breaks, with the fault or without. */
using FaultyRun =
    std::function<std::set<Promise>(std::uint64_t seed, bool faulty)>;

/** A mistake in a decision, and the promise that it has to break. */
struct SeededFault {
  std::string name;
  Promise promise;
  FaultyRun broken;
};

std::set<Promise> BrokenIn(const model::History& history) {
  std::set<Promise> broken;
  for (const auto& violation : CheckHistory(history)) {
    broken.insert(violation.promise);
  }
  return broken;
}

/** Callers before proxies while everything breaks. */
SeededFault InChaos(const std::string& name, Promise promise,
                    const std::function<void(ChaosOptions&)>& seed_fault,
                    const std::function<void(ChaosOptions&)>& set_up = {}) {
  return {name, promise, [=](std::uint64_t seed, bool faulty) {
            ChaosOptions options;
            options.seed = seed;
            if (set_up) set_up(options);
            if (faulty) seed_fault(options);
            return BrokenIn(RunTrafficChaos(options));
          }};
}

/** The replacement of a primary by the real decisions of failover, judged by
 * the one promise. */
SeededFault InFailover(
    const std::string& name, Promise promise,
    const std::function<void(FailoverTrialOptions&, bool faulty)>& set_up) {
  return {name, promise, [=](std::uint64_t seed, bool faulty) {
            FailoverTrialOptions options;
            options.places = model::KraanwaterOptions();
            options.codec = MakeLogCodec();
            options.seed = seed;
            set_up(options, faulty);
            const auto result = RunFailoverTrial(options);
            const std::size_t harm = promise == Promise::kNoAnswerByReplaced
                                         ? result.replaced_answers
                                         : result.lost_writes;
            return harm > 0 ? std::set<Promise>{promise} : std::set<Promise>{};
          }};
}

SeededFault InPlannedChanges(
    const std::string& name, Promise promise,
    const std::function<void(model::PlannedOptions&)>& seed_fault) {
  return {name, promise, [=](std::uint64_t seed, bool faulty) {
            model::PlannedOptions options;
            options.seed = seed;
            if (faulty) seed_fault(options);
            return BrokenIn(RunPlannedChanges(options));
          }};
}

SeededFault InConfigurations(
    const std::string& name,
    const std::function<void(model::ConfigurationRunOptions&)>& seed_fault) {
  return {name, Promise::kConfigurationHolds,
          [=](std::uint64_t seed, bool faulty) {
            model::ConfigurationRunOptions options;
            options.seed = seed;
            if (faulty) seed_fault(options);
            return BrokenIn(RunConfigurations(options));
          }};
}

/** Changes each batch on its way to a member. */
void ChangeBatches(ChaosOptions& options,
                   const std::function<void(MemberBatch&)>& change) {
  options.adjust = [change](model::FleetOptions& fleet) {
    fleet.wrap_port = [change](const MemberPort& port) {
      MemberPort changing = port;
      changing.execute = [change, port](ConnectionId id, MemberBatch batch) {
        change(batch);
        port.execute(id, batch);
      };
      return changing;
    };
  };
}

/** Keeps what an abandoned transaction left on its connection. */
void KeepTheDirt(MemberBatch& batch) {
  for (MemberStatement& statement : batch.statements) {
    if (statement.kind == MemberStatementKind::kRollback) {
      statement.kind = MemberStatementKind::kState;
    }
  }
}

/** Gives each read the answer to the one before. */
void CrossAnswers(ChaosOptions& options) {
  const auto last = std::make_shared<std::vector<SqlValue>>();
  ChangeBatches(options, [last](MemberBatch& batch) {
    for (MemberStatement& statement : batch.statements) {
      SqlStatement& caller = statement.caller;
      if (caller.sql != "GET") continue;
      std::vector<SqlValue> own = caller.parameters;
      if (!last->empty()) caller.parameters = *last;
      *last = std::move(own);
    }
  });
}

/** Lets replicas name what they have received as what reads see. */
void BeStaleAsFresh(ChaosOptions& options) {
  options.adjust = [](model::FleetOptions& fleet) {
    fleet.group.state = [](const model::FakeMember& member) {
      model::FakeMember fresh = member;
      fresh.applied = fresh.log.size();
      return fresh.State();
    };
  };
}

void RetryAfterSending(ChaosOptions& options) {
  options.on_request = [](StatementRequest& request) {
    const bool identified = !request.request_id.Empty();
    request.repeatable = request.kind == RequestKind::kWrite && !identified &&
                         request.transaction.Empty();
  };
}

void ForgetTheSession(ChaosOptions& options) {
  options.on_request = [](StatementRequest& request) {
    if (request.session_position) request.session_position = LogPosition{1, 1};
  };
}

/** Changes the messages of control. */
void Filter(FailoverTrialOptions& options,
            const std::function<void(PeerBody&)>& change) {
  options.adjust = [change](FailoverFleetOptions& fleet) {
    fleet.filter = [change](PeerBody& body) -> std::optional<nanoseconds> {
      change(body);
      return nanoseconds(0);
    };
  };
}

/** With the majority's wall taken away, with the fault or without, the lease
 * alone keeps the replaced primary silent. */
void KeepALeaseTooLong(FailoverTrialOptions& options, bool faulty) {
  options.scenario = FailoverScenario::kZoneCut;
  Filter(options, [faulty](PeerBody& body) {
    if (auto* update = std::get_if<ClusterUpdate>(&body)) {
      for (DatabaseTerm& entry : update->databases) entry.group_size = 1;
    }
    auto* grant = std::get_if<LeaseGrant>(&body);
    if (grant != nullptr && faulty) grant->duration *= 5;
  });
}

/** Fences a member, but reports the position that it had long before. */
bool FenceTooLate(model::FakeGroup& group, const MemberCommand& command,
                  MemberCommandResult& result) {
  if (command.kind != MemberCommandKind::kFence) return false;
  if (!group.Member(command.member.id).alive) return false;
  result.answered = true;
  result.accepted = group.Fence(command.member.id, command.term);
  result.member_term = command.term;
  result.position = LogPosition{1, 1};
  return true;
}

void ChooseBeforeTheFence(FailoverTrialOptions& options, bool faulty) {
  options.prepare = [](model::FailoverFleet& fleet) {
    fleet.LetLag(1, milliseconds(430));
  };
  if (!faulty) return;
  options.adjust = [](FailoverFleetOptions& fleet) {
    fleet.instead_of_command = FenceTooLate;
  };
}

std::vector<SeededFault> FaultsOfTraffic() {
  return {
      InChaos("skip the wait for the majority", Promise::kAcknowledgedSurvives,
              [](ChaosOptions& o) { o.majority_wall = false; }),
      InChaos(
          "promote while leases run", Promise::kNoAnswerByReplaced,
          [](ChaosOptions& o) { o.lease_wall = false; },
          [](ChaosOptions& o) { o.works = model::kDenseWorks; }),
      InChaos("promote the least advanced", Promise::kAcknowledgedSurvives,
              [](ChaosOptions& o) { o.most_advanced = false; }),
      InChaos("retry after sending", Promise::kAtMostOnce, RetryAfterSending),
      InChaos("forget the request row", Promise::kAtMostOnce,
              [](ChaosOptions& o) { o.identifiers = false; }),
      InChaos("say not run after sending", Promise::kNotRunIsTrue,
              [](ChaosOptions& o) { o.truthful = false; }),
      InChaos("return a dirty connection", Promise::kTransactionsDontMix,
              [](ChaosOptions& o) { ChangeBatches(o, KeepTheDirt); }),
      InChaos("cross answers", Promise::kAnswerIsWhole, CrossAnswers),
      InChaos("forget what the session saw", Promise::kReadYourWrites,
              ForgetTheSession),
      InChaos("serve a stale replica as fresh", Promise::kReadYourWrites,
              BeStaleAsFresh),
      InChaos("serve a stale replica as young", Promise::kStatedAge,
              BeStaleAsFresh),
      InChaos(
          "exceed the slots", Promise::kSlots,
          [](ChaosOptions& o) {
            o.adjust = [](model::FleetOptions& fleet) { fleet.seats = false; };
          },
          [](ChaosOptions& o) { o.seats = true; }),
  };
}

std::vector<SeededFault> FaultsOfControl() {
  return {
      InFailover("keep a lease too long", Promise::kNoAnswerByReplaced,
                 KeepALeaseTooLong),
      InFailover("choose before the fence", Promise::kAcknowledgedSurvives,
                 ChooseBeforeTheFence),
      InPlannedChanges("pass over a leaving", Promise::kNoWorkForLeaving,
                       [](auto& o) { o.leaving_is_heard = false; }),
      InPlannedChanges("stop at once", Promise::kPlannedStopCutsNothing,
                       [](auto& o) { o.drains = false; }),
      InConfigurations("take a lower revision",
                       [](auto& o) { o.keeps_higher = false; }),
      InConfigurations("offer a revision once",
                       [](auto& o) { o.offers_again = false; }),
  };
}

/** Makes mistakes on purpose. Each has to break its promise within some seeds
 * that break nothing without it. */
class SeededFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SeededFaultTest);
  CPPUNIT_TEST(CatchesFaultsOfTraffic);
  CPPUNIT_TEST(CatchesFaultsOfControl);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CatchesFaultsOfTraffic() { this->CatchAll(FaultsOfTraffic()); }
  void CatchesFaultsOfControl() { this->CatchAll(FaultsOfControl()); }

 private:
  void CatchAll(const std::vector<SeededFault>& faults) {
    std::cerr << "\n"
              << std::left << std::setw(36) << "fault" << std::setw(48)
              << "promise that caught it"
              << "seeds\n";
    for (const SeededFault& fault : faults) {
      const std::uint64_t seeds = this->SeedsUntilCaught(fault);
      std::cerr << std::setw(36) << fault.name << std::setw(48)
                << PromiseName(fault.promise) << seeds << "\n";
      CPPUNIT_ASSERT_MESSAGE(fault.name + " is not caught",
                             seeds <= kMostSeeds);
    }
  }

  std::uint64_t SeedsUntilCaught(const SeededFault& fault) {
    std::uint64_t seed = 1;
    for (; seed <= kMostSeeds; ++seed) {
      CPPUNIT_ASSERT_MESSAGE("without " + fault.name,
                             fault.broken(seed, false).empty());
      if (fault.broken(seed, true).count(fault.promise) > 0) break;
    }
    return seed;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SeededFaultTest);

}  // namespace
}  // namespace lacewingferry
