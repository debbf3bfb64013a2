#include "bench/model/failover_trial.h"

#include <algorithm>
#include <random>

namespace lacewingferry::model {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kWriteInterval{10};
constexpr milliseconds kWarmUp{3000};
constexpr milliseconds kPreparation{400};
constexpr milliseconds kStall{200};
constexpr milliseconds kReturn{1500};
constexpr seconds kLimit{12};
constexpr seconds kSettling{6};

/** One trial from its start to its end. */
class Trial {
 public:
  explicit Trial(const FailoverTrialOptions& trial_options)
      : options(trial_options), random(trial_options.seed) {}

  FailoverTrialResult Run() {
    FailoverFleetOptions fleet_options;
    fleet_options.places = this->options.places;
    fleet_options.places.proxies_per_zone = 2;
    fleet_options.codec = this->options.codec;
    fleet_options.seed = this->random();
    if (this->options.scenario == FailoverScenario::kStalls) {
      fleet_options.loss = 0.02;
      fleet_options.places.group.apply_lag = [](const MemberId&) {
        return milliseconds(300);
      };
    }
    if (this->options.adjust) this->options.adjust(fleet_options);
    this->queue.RunUntil(steady_clock::time_point(seconds(1)));
    this->fleet =
        std::make_unique<FailoverFleet>(this->queue, std::move(fleet_options));
    this->WriteAgain();
    this->WarmUp();
    if (this->options.prepare) {
      this->options.prepare(*this->fleet);
      this->queue.RunUntil(this->queue.Now() + kPreparation);
    }
    this->fault_term = this->fleet->Entry()->term;
    this->fault = this->queue.Now();
    this->Strike();
    this->RunUntilAnswered();
    this->Settle();
    return this->Judge();
  }

 private:
  /** Waits until control's leader stands where the scenario wants it, by
   * striking at another moment; the phase of all timers varies too. */
  void WarmUp() {
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
    const auto phase = std::uniform_int_distribution<int>(0, 999)(this->random);
    this->queue.RunUntil(this->queue.Now() + milliseconds(phase));
    const bool with_control =
        this->options.scenario == FailoverScenario::kZoneStopsWithControl;
    const bool zone_fault =
        with_control ||
        this->options.scenario == FailoverScenario::kZoneStops ||
        this->options.scenario == FailoverScenario::kZoneCut;
    if (!zone_fault) return;
    // Cutting the leader off for a while moves the leadership.
    for (int i = 0; i < 20 && this->LeaderWithPrimary() != with_control; ++i) {
      this->MoveLeader();
    }
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
  }

  bool LeaderWithPrimary() const {
    const auto leader = this->fleet->Control().Leader();
    return leader && *leader == this->fleet->ZoneOfPrimary();
  }

  void MoveLeader() {
    const auto leader = this->fleet->Control().Leader();
    if (!leader) {
      this->queue.RunUntil(this->queue.Now() + milliseconds(100));
      return;
    }
    this->fleet->Control().Pause(*leader, true);
    this->queue.RunUntil(this->queue.Now() + milliseconds(900));
    this->fleet->Control().Pause(*leader, false);
    this->queue.RunUntil(this->queue.Now() + milliseconds(500));
  }

  void Strike() {
    this->struck_zone = this->fleet->ZoneOfPrimary();
    const MemberId primary = this->fleet->MemberOf(this->struck_zone);
    FakeGroup& group = this->fleet->Group();
    switch (this->options.scenario) {
      case FailoverScenario::kProcessEnds:
        group.Kill(primary);
        this->returning.push_back(primary);
        break;
      case FailoverScenario::kMachineStops:
        group.Stall(primary, steady_clock::time_point::max());
        break;
      case FailoverScenario::kZoneCut:
        this->fleet->CutZone(this->struck_zone, true);
        break;
      case FailoverScenario::kZoneStops:
      case FailoverScenario::kZoneStopsWithControl:
        this->fleet->KillZone(this->struck_zone);
        break;
      case FailoverScenario::kCascade:
        group.Kill(primary);
        this->KillTheChosen(this->fault_term);
        this->queue.After(kReturn, [this, primary] { this->Restart(primary); });
        break;
      case FailoverScenario::kStalls:
        this->StallAgain(0);
        break;
    }
  }

  void Restart(const MemberId& member) { this->fleet->Group().Restart(member); }

  void KillTheChosen(std::uint64_t after_term) {
    const DatabaseTerm& entry = *this->fleet->Entry();
    if (entry.term > after_term && !entry.primary.Empty()) {
      this->fleet->Group().Kill(entry.primary);
      this->returning.push_back(entry.primary);
      return;
    }
    this->queue.After(milliseconds(1),
                      [this, after_term] { this->KillTheChosen(after_term); });
  }

  void StallAgain(int count) {
    const MemberId primary =
        this->fleet->MemberOf(this->fleet->ZoneOfPrimary());
    this->fleet->Group().Stall(primary, this->queue.Now() + kStall);
    if (count == 5) return;
    const auto pause = milliseconds(
        std::uniform_int_distribution<int>(500, 900)(this->random));
    this->queue.After(pause, [this, count] { this->StallAgain(count + 1); });
  }

  void WriteAgain() {
    const std::size_t proxy = std::uniform_int_distribution<std::size_t>(
        0, this->fleet->ProxyCount() - 1)(this->random);
    this->fleet->Write(proxy, [this](std::uint64_t term) {
      if (this->fault_term != 0 && term > this->fault_term && !this->answered) {
        this->answered = this->queue.Now();
      }
    });
    if (this->quiet) return;
    this->queue.After(kWriteInterval, [this] { this->WriteAgain(); });
  }

  void RunUntilAnswered() {
    const bool stalls = this->options.scenario == FailoverScenario::kStalls;
    const auto limit = this->fault + (stalls ? seconds(5) : kLimit);
    while (this->queue.Now() < limit && !this->answered) {
      this->queue.RunUntil(this->queue.Now() + milliseconds(5));
    }
  }

  void Settle() {
    this->queue.RunUntil(this->queue.Now() + seconds(1));
    if (this->options.scenario == FailoverScenario::kZoneCut) {
      this->fleet->CutZone(this->struck_zone, false);
    }
    for (const MemberId& member : this->returning) this->Restart(member);
    this->quiet = true;
    this->queue.RunUntil(this->queue.Now() + kSettling);
  }

  FailoverTrialResult Judge() const {
    FailoverTrialResult result;
    const DatabaseTerm& entry = *this->fleet->Entry();
    result.terms = this->fleet->Terms().size() - 1;
    result.acknowledged = this->fleet->Acknowledged();
    result.lost_writes = this->fleet->LostWrites();
    result.replaced_answers = this->fleet->ReplacedAnswers();
    result.dropped_tails = this->fleet->DroppedTails();
    result.all_follow = true;
    for (const auto& item : this->fleet->Group().Members()) {
      if (this->fleet->Group().Stalled(item.first)) continue;
      result.all_follow &=
          item.second.term == entry.term &&
          (item.second.primary == (item.first == entry.primary));
    }
    if (this->answered) this->Split(result);
    return result;
  }

  void Split(FailoverTrialResult& result) const {
    const auto since = [](steady_clock::time_point from,
                          steady_clock::time_point to) {
      return duration_cast<microseconds>(to - from);
    };
    result.gap = since(this->fault, *this->answered);
    const auto first = this->fleet->Terms().upper_bound(this->fault_term);
    if (first == this->fleet->Terms().end()) return;
    result.detection = since(this->fault, first->second.begun);
    const TermTimes& last = this->LastBeforeAnswer();
    result.lease_and_fence = since(first->second.begun, last.chosen);
    const auto promoted = std::min(last.confirmed, *this->answered);
    result.promotion = since(last.chosen, promoted);
    result.rerouting = since(promoted, *this->answered);
  }

  const TermTimes& LastBeforeAnswer() const {
    const TermTimes* last = nullptr;
    for (const auto& item : this->fleet->Terms()) {
      if (item.second.chosen <= *this->answered) last = &item.second;
    }
    return *last;
  }

  const FailoverTrialOptions& options;
  std::mt19937_64 random;
  EventQueue queue;
  std::unique_ptr<FailoverFleet> fleet;
  std::uint64_t fault_term = 0;
  std::size_t struck_zone = 0;
  steady_clock::time_point fault;
  std::optional<steady_clock::time_point> answered;
  std::vector<MemberId> returning;
  bool quiet = false;
};

}  // namespace

const std::vector<FailoverScenario>& AllFailoverScenarios() {
  static const std::vector<FailoverScenario> kAll = {
      FailoverScenario::kProcessEnds,
      FailoverScenario::kMachineStops,
      FailoverScenario::kZoneCut,
      FailoverScenario::kZoneStops,
      FailoverScenario::kZoneStopsWithControl,
      FailoverScenario::kCascade,
      FailoverScenario::kStalls};
  return kAll;
}

std::string FailoverScenarioName(FailoverScenario scenario) {
  switch (scenario) {
    case FailoverScenario::kProcessEnds:
      return "process_ends";
    case FailoverScenario::kMachineStops:
      return "machine_stops";
    case FailoverScenario::kZoneCut:
      return "zone_cut";
    case FailoverScenario::kZoneStops:
      return "zone_stops";
    case FailoverScenario::kZoneStopsWithControl:
      return "zone_and_control";
    case FailoverScenario::kCascade:
      return "cascade";
    case FailoverScenario::kStalls:
      break;
  }
  return "stalls";
}

FailoverTrialResult RunFailoverTrial(const FailoverTrialOptions& options) {
  return Trial(options).Run();
}

}  // namespace lacewingferry::model
