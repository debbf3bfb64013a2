#include "bench/model/read_scenario.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "bench/model/baseline_fleet.h"
#include "bench/model/lag_process.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** The time that a batch holds its connection at the member. */
constexpr milliseconds kServiceTime{2};
/** Connections are open after this, and the callers start. */
constexpr milliseconds kWarmUp{500};

ReadScenario MakeScenario(std::string name, FleetOptions fleet,
                          std::size_t callers) {
  ReadScenario scenario;
  scenario.name = std::move(name);
  scenario.fleet = std::move(fleet);
  scenario.workload.callers = callers;
  scenario.workload.to_callers = scenario.fleet.to_callers;
  scenario.least_share = 0.98;
  return scenario;
}

ReadScenario Swinging(ReadScenario scenario) {
  scenario.name += ", lag swings to 10 s";
  scenario.most_lag = milliseconds(10000);
  scenario.lag_step = milliseconds(15000);
  scenario.least_share = 0.95;
  return scenario;
}

/** What one run needs beside its proxies. */
class Stage {
 public:
  Stage(const ReadScenario& read_scenario, std::uint64_t run_seed)
      : scenario(read_scenario), seed(run_seed) {}

  EventQueue& Queue() { return this->queue; }

  /** The options of the proxies, whose members lag as the scenario says. */
  FleetOptions Options() {
    FleetOptions options = this->scenario.fleet;
    options.group.service_time = [](const MemberBatch&) {
      return kServiceTime;
    };
    options.group.apply_lag = [this](const MemberId& member) {
      const auto known = this->lags.try_emplace(
          member, this->seed * 100 + this->lags.size(), this->scenario.most_lag,
          this->scenario.lag_step,
          this->scenario.duration + kWarmUp + milliseconds(20000));
      return known.first->second.At(this->queue.Now().time_since_epoch());
    };
    options.group.on_commit = [this](const MemberId&, const FakeEntry& entry) {
      this->workload->OnCommit(entry);
    };
    return options;
  }

  /** Runs the callers to their end. */
  ReadWorkloadResult Run(FakeGroup& group, Network& network,
                         decltype(ReadWorkloadHooks::submit) submit) {
    ReadWorkloadHooks hooks;
    hooks.submit = std::move(submit);
    hooks.members = [&group]() -> const std::map<MemberId, FakeMember>& {
      return group.Members();
    };
    hooks.latency = [this, &network](const FakeMember& member,
                                     std::size_t proxy) {
      const FleetOptions& fleet = this->scenario.fleet;
      const std::size_t zone = proxy / fleet.proxies_per_zone;
      return network.Latency(member.info.zone, fleet.zones[zone]);
    };
    this->workload = std::make_unique<ReadWorkload>(
        this->queue, hooks, this->scenario.workload, this->seed);
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
    const auto end = this->queue.Now() + this->scenario.duration;
    this->workload->Start(end);
    this->queue.RunUntil(end + milliseconds(15000));
    return this->workload->Result();
  }

 private:
  const ReadScenario& scenario;
  std::uint64_t seed;
  EventQueue queue;
  std::map<MemberId, LagProcess> lags;
  std::unique_ptr<ReadWorkload> workload;
};

}  // namespace

std::vector<ReadScenario> ReadScenarios() {
  const ReadScenario kraanwater =
      MakeScenario("Kraanwater", KraanwaterOptions(), 75);
  ReadScenario wanjiru = MakeScenario("Wanjiru", WanjiruOptions(), 65);
  wanjiru.workload.think_time = milliseconds(200);
  return {kraanwater, Swinging(kraanwater), wanjiru, Swinging(wanjiru)};
}

ReadScenarioOutcome RunReadScenario(const ReadScenario& scenario,
                                    std::uint64_t seed,
                                    const MessageSize& message_size) {
  Stage stage(scenario, seed);
  Fleet fleet(stage.Queue(), stage.Options());
  std::map<std::size_t, std::size_t> sent_bytes;
  fleet.SetSendObserver([&](std::size_t proxy, const PeerBody& body) {
    const bool position = std::holds_alternative<PositionProbe>(body) ||
                          std::holds_alternative<PositionSample>(body);
    if (!position || !message_size) return;
    sent_bytes[proxy] +=
        message_size(PeerMessage{NodeId("kisumu-a-proxy-1"), "", body});
  });
  ReadScenarioOutcome outcome;
  outcome.result = stage.Run(
      fleet.Group(), fleet.Net(),
      [&fleet](std::size_t proxy, StatementRequest request, ReplyHook reply) {
        request.database = fleet.Database();
        fleet.Submit(proxy, request, std::move(reply));
      });
  outcome.peer_messages = fleet.Messages();
  const std::chrono::duration<double> measured = scenario.duration;
  for (const auto& entry : sent_bytes) {
    outcome.control_bytes_a_second =
        std::max(outcome.control_bytes_a_second,
                 static_cast<double>(entry.second) / measured.count());
  }
  return outcome;
}

ReadScenarioOutcome RunBaselineScenario(const ReadScenario& scenario,
                                        std::uint64_t seed) {
  Stage stage(scenario, seed);
  BaselineFleet fleet(stage.Queue(), stage.Options());
  ReadScenarioOutcome outcome;
  outcome.result =
      stage.Run(fleet.Group(), fleet.Net(),
                [&fleet](std::size_t proxy, const StatementRequest& request,
                         ReplyHook reply) {
                  fleet.Submit(proxy, request, std::move(reply));
                });
  return outcome;
}

}  // namespace lacewingferry::model
