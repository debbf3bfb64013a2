#include "bench/model/read_scenario.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

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
  EventQueue queue;
  std::map<MemberId, LagProcess> lags;
  std::unique_ptr<ReadWorkload> workload;
  FleetOptions options = scenario.fleet;
  options.group.service_time = [](const SqlBatch&) { return kServiceTime; };
  options.group.apply_lag = [&](const MemberId& member) {
    const auto known = lags.try_emplace(
        member, seed * 100 + lags.size(), scenario.most_lag, scenario.lag_step,
        scenario.duration + kWarmUp + milliseconds(20000));
    return known.first->second.At(queue.Now().time_since_epoch());
  };
  options.group.on_commit = [&workload](const MemberId&,
                                        const FakeEntry& entry) {
    workload->OnCommit(entry);
  };
  Fleet fleet(queue, options);
  std::map<std::size_t, std::size_t> sent_bytes;
  fleet.SetSendObserver([&](std::size_t proxy, const PeerBody& body) {
    const bool position = std::holds_alternative<PositionProbe>(body) ||
                          std::holds_alternative<PositionSample>(body);
    if (!position || !message_size) return;
    sent_bytes[proxy] +=
        message_size(PeerMessage{NodeId("kisumu-a-proxy-1"), "", body});
  });
  ReadWorkloadHooks hooks;
  hooks.submit = [&fleet](std::size_t proxy, StatementRequest request,
                          ReplyHook reply) {
    request.database = fleet.Database();
    fleet.Submit(proxy, request, std::move(reply));
  };
  hooks.members = [&fleet]() -> const std::map<MemberId, FakeMember>& {
    return fleet.Group().Members();
  };
  hooks.latency = [&fleet](const FakeMember& member, std::size_t proxy) {
    const std::size_t zone = proxy / fleet.Options().proxies_per_zone;
    return fleet.Net().Latency(member.info.zone, fleet.Options().zones[zone]);
  };
  workload =
      std::make_unique<ReadWorkload>(queue, hooks, scenario.workload, seed);
  queue.RunUntil(queue.Now() + kWarmUp);
  const auto end = queue.Now() + scenario.duration;
  workload->Start(end);
  queue.RunUntil(end + milliseconds(15000));
  ReadScenarioOutcome outcome{workload->Result(), fleet.Messages()};
  const std::chrono::duration<double> measured = scenario.duration;
  for (const auto& entry : sent_bytes) {
    outcome.control_bytes_a_second =
        std::max(outcome.control_bytes_a_second,
                 static_cast<double>(entry.second) / measured.count());
  }
  return outcome;
}

}  // namespace lacewingferry::model
