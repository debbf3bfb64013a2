#include "bench/model/membership_load.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "bench/model/membership_fleet.h"

namespace lacewingferry::model {
namespace {

using std::chrono::seconds;

constexpr double kMembersPerProxy = 4.2;
constexpr seconds kSettleLimit{120};
constexpr seconds kSettled{20};
constexpr seconds kWindow{30};
constexpr seconds kEventWindow{8};
constexpr std::size_t kEventsMeasured = 4;
/** The changes of a day, for each 1,000 processes. */
constexpr double kRestartsPerDay = 640;
constexpr double kFailuresPerDay = 13;
constexpr double kMemberChangesPerDay = 2700;
constexpr double kSecondsPerDay = 86400;
constexpr double kProcessesOfTarget = 1000;

TrafficRate Scaled(const TrafficRate& a, double factor) {
  return {a.messages_sent * factor, a.bytes_sent * factor,
          a.bytes_received * factor};
}

TrafficRate Sum(const TrafficRate& a, const TrafficRate& b) {
  return {a.messages_sent + b.messages_sent, a.bytes_sent + b.bytes_sent,
          a.bytes_received + b.bytes_received};
}

/** Counts the messages of a fleet by process. */
class Meter {
 public:
  Meter(MembershipFleet& metered, const SizeHook& size_of) : fleet(metered) {
    this->fleet.tap = [this, size_of](std::size_t from, std::size_t to,
                                      const PeerMessage& message) {
      const auto bytes = static_cast<double>(size_of(message));
      this->rates[from].messages_sent += 1;
      this->rates[from].bytes_sent += bytes;
      this->rates[to].bytes_received += bytes;
    };
    this->rates.resize(fleet.processes.size());
  }

  /** The load a second while the fleet runs for a while. */
  MembershipLoad Run(seconds duration) {
    this->rates.assign(this->rates.size(), TrafficRate());
    this->fleet.RunFor(duration);
    const double per_second = 1.0 / static_cast<double>(duration.count());
    for (TrafficRate& rate : this->rates) rate = Scaled(rate, per_second);
    return MembershipLoad{this->Of(true), this->Of(false)};
  }

 private:
  RoleLoad Of(bool relay) const {
    RoleLoad load;
    double count = 0;
    for (std::size_t i = 0; i < this->rates.size(); ++i) {
      const auto& process = this->fleet.processes[i];
      if (process.node == nullptr || process.role != NodeRole::kProxy) continue;
      if (process.node->IsRelay() != relay) continue;
      ++count;
      load.mean = Sum(load.mean, this->rates[i]);
      if (this->rates[i].Bytes() > load.largest.Bytes()) {
        load.largest = this->rates[i];
      }
    }
    load.mean = Scaled(load.mean, count > 0 ? 1 / count : 0);
    return load;
  }

  MembershipFleet& fleet;
  std::vector<TrafficRate> rates;
};

/** A proxy that is no relay, and no seed either. */
std::size_t ProxyToStop(const MembershipFleet& fleet, std::size_t proxies) {
  std::size_t i = proxies - 1;
  while (fleet.processes[i].node->IsRelay()) --i;
  return i;
}

/** What one event costs a process beyond the idle load, in bytes. */
RoleLoad Cost(const RoleLoad& with_event, const RoleLoad& idle) {
  const auto window = static_cast<double>(kEventWindow.count());
  RoleLoad cost;
  cost.mean = Scaled(Sum(with_event.mean, Scaled(idle.mean, -1)), window);
  return cost;
}

/** Adds events of one kind at a rate a second. */
void AddEvents(const RoleLoad& idle, const RoleLoad& with_event, double rate,
               RoleLoad& churning) {
  const TrafficRate added = Scaled(Cost(with_event, idle).mean, rate);
  churning.mean = Sum(churning.mean, added);
  churning.largest = Sum(churning.largest, added);
}

}  // namespace

MembershipLoads MeasureMembershipLoad(std::size_t proxies, std::size_t zones,
                                      const SizeHook& size_of) {
  MembershipFleetSettings settings;
  settings.zones = zones;
  settings.proxies = proxies;
  settings.members =
      static_cast<std::size_t>(kMembersPerProxy * static_cast<double>(proxies));
  MembershipFleet fleet(settings);
  fleet.RunUntil([&fleet] { return fleet.Converged(); }, kSettleLimit);
  fleet.RunFor(kSettled);
  Meter meter(fleet, size_of);
  MembershipLoads loads;
  loads.idle = meter.Run(kWindow);
  loads.churning = loads.idle;
  const double share = static_cast<double>(proxies) / kProcessesOfTarget /
                       kSecondsPerDay / static_cast<double>(kEventsMeasured);
  const auto add = [&](const MembershipLoad& measured, double per_day) {
    AddEvents(loads.idle.relay, measured.relay, per_day * share,
              loads.churning.relay);
    AddEvents(loads.idle.other, measured.other, per_day * share,
              loads.churning.other);
  };
  for (std::size_t i = 0; i < kEventsMeasured; ++i) {
    const std::size_t stopped = ProxyToStop(fleet, proxies);
    fleet.processes[stopped].node->Leave(fleet.queue.Now());
    fleet.Kill(stopped);
    fleet.queue.After(seconds(2), [&fleet, stopped] { fleet.Start(stopped); });
    add(meter.Run(kEventWindow), kRestartsPerDay);
    fleet.RunFor(kSettled);
    fleet.Kill(stopped);
    fleet.queue.After(seconds(3), [&fleet, stopped] { fleet.Start(stopped); });
    add(meter.Run(kEventWindow), kFailuresPerDay);
    fleet.RunFor(kSettled);
    ++fleet.members[i].announcement.info.slots;
    add(meter.Run(kEventWindow), kMemberChangesPerDay);
    fleet.RunFor(kSettled);
  }
  return loads;
}

}  // namespace lacewingferry::model
