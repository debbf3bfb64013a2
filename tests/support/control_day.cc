#include "tests/support/control_day.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>

#include "bench/model/consensus_group.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/app/fleet_replica_settings.h"

namespace lacewingferry::tests {

using model::ConsensusGroup;
using model::GroupOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kStart{5000};
constexpr milliseconds kDay{40'000};
constexpr milliseconds kStep{20};
/** About one event in 0.8 s, if the tolerated losses allow it. */
constexpr double kEventChance = 0.025;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kFounders = 3;
/** Empty VMs that may replace others. */
constexpr std::size_t kReplacements = 4;
/** Within this, a group whose VMs run acknowledges a change: ack_ms. */
constexpr milliseconds kAcknowledgement{8000};
constexpr milliseconds kLongestFinalOutage{1500};

GroupOptions GroupOf(const ControlDayOptions& day) {
  FleetControlProgramSettings settings;
  settings.tolerated_losses = day.tolerated_losses;
  const ControlReplicaSettings fleet = MakeFleetReplicaSettings(settings);
  GroupOptions group;
  group.seed = day.seed;
  group.voters = kFounders;
  group.spares = day.vms - kFounders + kReplacements;
  group.raft = fleet.raft;
  group.repair = fleet.repair;
  group.codec = MakeLogCodec();
  group.latency = [latency = day.latency](std::size_t, std::size_t) {
    return latency;
  };
  group.jitter = milliseconds(3);
  return group;
}

/** A VM as the deployment's rules see it. */
struct Vm {
  /** Whether it belongs to the deployment. */
  bool present = false;
  /** Until when it counts as lost; max() while it is away. */
  steady_clock::time_point lost_until{};
  /** Ends its present trouble, if it is in one. */
  std::function<void()> comes_back;
  steady_clock::time_point back_at{};
};

class ControlDay {
 public:
  explicit ControlDay(const ControlDayOptions& day_options)
      : options(day_options),
        random(day_options.seed * 7919),
        group(GroupOf(day_options)),
        vms(group.Size()) {
    this->group.SetSeeds({0, 1, 2});
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      this->vms[i].present = i < this->options.vms;
      if (i >= kFounders) this->group.LoseDisk(i);
      if (i >= kFounders && this->vms[i].present) this->group.Start(i);
    }
  }

  ControlDayResult Run() {
    this->group.RunFor(kStart);
    for (milliseconds t{0}; t < kDay; t += kStep) {
      if (std::bernoulli_distribution(kEventChance)(this->random)) {
        this->Disrupt();
      }
      this->BringBack(this->group.Now());
      this->group.RunFor(kStep);
    }
    this->BringBack(steady_clock::time_point::max());
    this->StrikeAtTheEnd();
    this->group.RunFor(this->options.recovery);
    this->Judge();
    return std::move(this->result);
  }

 private:
  std::size_t Lost() const {
    const auto now = this->group.Now();
    return static_cast<std::size_t>(
        std::count_if(this->vms.begin(), this->vms.end(),
                      [now](const Vm& vm) { return vm.lost_until > now; }));
  }

  /** The VMs that belong to the deployment and don't count as lost. */
  std::vector<std::size_t> WellVms() {
    const auto now = this->group.Now();
    std::vector<std::size_t> well;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      const Vm& vm = this->vms[i];
      if (vm.present && vm.lost_until <= now) well.push_back(i);
    }
    std::shuffle(well.begin(), well.end(), this->random);
    return well;
  }

  milliseconds Between(milliseconds least, milliseconds most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        least.count(), most.count())(this->random));
  }

  void Note(const std::string& what, std::size_t vm) {
    const auto at = std::chrono::duration_cast<milliseconds>(
        this->group.Now().time_since_epoch());
    this->events +=
        std::to_string(at.count()) + " " + what + " " + std::to_string(vm);
    const auto leader = this->group.Leader();
    if (leader) this->events += " leader " + std::to_string(*leader);
    this->events += "; ";
  }

  /** Takes a VM away for a while; comes_back ends that. */
  void TakeAway(std::size_t i, milliseconds outage,
                std::function<void()> comes_back) {
    this->vms[i].lost_until = steady_clock::time_point::max();
    this->vms[i].back_at = this->group.Now() + outage;
    this->vms[i].comes_back = std::move(comes_back);
  }

  void BringBack(steady_clock::time_point due) {
    const auto now = this->group.Now();
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      Vm& vm = this->vms[i];
      if (!vm.comes_back || vm.back_at > due) continue;
      vm.comes_back();
      vm.comes_back = nullptr;
      this->ReconnectLate(i);
      vm.lost_until = now + this->options.catch_up;
      this->Note("back", i);
    }
  }

  /** Connections to a VM from before its outage are noticed to be dead, and
   * opened anew, one after the other. */
  void ReconnectLate(std::size_t i) {
    for (std::size_t other = 0; other < this->vms.size(); ++other) {
      if (other == i) continue;
      this->group.Cut(other, i, true);
      this->group.Queue().After(
          this->Between(milliseconds(0), this->options.reconnect),
          [this, i, other] { this->group.Cut(other, i, false); });
    }
  }

  void Disrupt() {
    switch (this->random() % 8) {
      case 0:
      case 1:
        this->ExchangeSeeds();
        break;
      case 2:
        this->KillAll();
        break;
      case 3:
        this->Replace();
        break;
      default:
        this->LoseOne();
    }
  }

  /** New seeds, from all VMs that belong to the deployment then. */
  void ExchangeSeeds() {
    std::vector<std::size_t> seeds;
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      if (this->vms[i].present) seeds.push_back(i);
    }
    std::shuffle(seeds.begin(), seeds.end(), this->random);
    seeds.resize(std::min(seeds.size(), kSeeds));
    this->group.SetSeeds(seeds);
    ++this->result.seeds_exchanged;
    for (const std::size_t seed : seeds) this->Note("seed", seed);
  }

  void LoseOne() {
    const std::vector<std::size_t> well = this->WellVms();
    if (this->Lost() >= this->options.tolerated_losses || well.empty()) return;
    const std::size_t i = well.front();
    const milliseconds outage =
        this->Between(milliseconds(300), milliseconds(7000));
    const auto start = [this, i] { this->group.Start(i); };
    switch (this->random() % 4) {
      case 0:
        this->Note("crash", i);
        this->group.Crash(i);
        this->TakeAway(i, outage, start);
        break;
      case 1:
        this->Note("cut off", i);
        this->group.Isolate(i, true);
        this->TakeAway(i, outage, [this, i] { this->group.Isolate(i, false); });
        break;
      default:
        this->Note("lose disk", i);
        ++this->result.disks_lost;
        this->group.LoseDisk(i);
        this->TakeAway(i, outage, start);
    }
  }

  /** A VM is gone for good, and an empty one comes at another address. */
  void Replace() {
    const std::vector<std::size_t> well = this->WellVms();
    const auto next = std::find_if(
        this->vms.begin() + static_cast<std::ptrdiff_t>(this->options.vms),
        this->vms.end(), [](const Vm& vm) { return !vm.present; });
    if (this->Lost() >= this->options.tolerated_losses || well.empty()) return;
    if (next == this->vms.end()) return;
    const std::size_t gone = well.front();
    const auto successor = static_cast<std::size_t>(next - this->vms.begin());
    this->Note("replaced", gone);
    ++this->result.vms_replaced;
    this->group.LoseDisk(gone);
    this->vms[gone] = Vm{};
    this->vms[successor].present = true;
    this->ExchangeSeeds();
    this->TakeAway(successor, milliseconds(1000),
                   [this, successor] { this->group.Start(successor); });
  }

  /** All processes end at once, and keep their disks. */
  void KillAll() {
    if (this->Lost() > 0) return;
    for (const std::size_t i : this->WellVms()) {
      this->Note("kill", i);
      this->group.Crash(i);
      this->TakeAway(i, this->Between(milliseconds(200), milliseconds(900)),
                     [this, i] { this->group.Start(i); });
    }
  }

  /** Has a change acknowledged, as an operator who repeats it would. */
  void AwaitAcknowledgement() {
    const auto limit = this->group.Now() + kAcknowledgement;
    while (!this->acknowledged && this->group.Now() < limit) {
      const auto leader = this->group.Leader();
      const auto index =
          leader ? this->group.Propose(*leader, "acknowledged") : std::nullopt;
      this->group.RunFor(milliseconds(200));
      this->acknowledged = index && this->group.Committed() >= *index;
    }
  }

  /** As many disks as the deployment tolerates, and the power of all. */
  void StrikeAtTheEnd() {
    this->AwaitAcknowledgement();
    std::vector<std::size_t> well = this->WellVms();
    well.resize(
        std::min(well.size(),
                 this->options.tolerated_losses -
                     std::min(this->options.tolerated_losses, this->Lost())));
    for (std::size_t i = 0; i < this->vms.size(); ++i) this->group.Crash(i);
    for (const std::size_t i : well) {
      this->Note("finally lose disk", i);
      this->group.LoseDisk(i);
    }
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      if (!this->vms[i].present) continue;
      this->group.Queue().After(
          this->Between(milliseconds(500), kLongestFinalOutage), [this, i] {
            this->group.Start(i);
            this->ReconnectLate(i);
          });
    }
    this->group.RunFor(kLongestFinalOutage);
  }

  void Judge() {
    const auto leader = this->group.Leader();
    std::string what;
    if (!this->acknowledged) {
      what = "no change is acknowledged before the final fault";
    } else if (!leader || !this->group.CanServeReads(*leader)) {
      what = "control doesn't serve after the final fault";
    } else if (!this->group.Violations().empty()) {
      what = this->group.Violations().front();
    }
    if (!what.empty()) this->result.failure = what + ": " + this->events;
  }

  ControlDayOptions options;
  std::mt19937_64 random;
  ConsensusGroup group;
  std::vector<Vm> vms;
  std::string events;
  bool acknowledged = false;
  ControlDayResult result;
};

}  // namespace

ControlDayResult RunControlDay(const ControlDayOptions& options) {
  return ControlDay(options).Run();
}

}  // namespace lacewingferry::tests
