#include "bench/model/slow_member_trial.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** Connections are open after this, and the callers start. */
constexpr milliseconds kWarmUp{500};
/** The callers' last requests end within this. */
constexpr seconds kRunOut{5};

class Trial {
 public:
  explicit Trial(const SlowMemberOptions& trial_options)
      : options(trial_options),
        fleet(this->queue, this->FleetWithService()),
        workload(this->queue, this->Hooks(), this->options.workload,
                 this->options.seed) {
    this->fleet.SetSendObserver([this](std::size_t, const PeerBody& body) {
      if (this->InTrouble() && std::holds_alternative<ForwardRequest>(body)) {
        ++this->result.forwards;
      }
    });
  }

  SlowMemberResult Run() {
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
    const auto end = this->queue.Now() + kTrialCalm + this->options.length;
    this->trouble_at = this->queue.Now() + kTrialCalm;
    this->workload.Start(end);
    this->queue.RunUntil(this->trouble_at);
    if (this->options.trouble) this->options.trouble(this->queue, this->fleet);
    this->queue.RunUntil(end + kRunOut);
    this->result.workload = this->workload.Result();
    this->Summarize();
    return this->result;
  }

 private:
  bool InTrouble() const {
    return this->trouble_at != steady_clock::time_point() &&
           this->queue.Now() >= this->trouble_at;
  }

  FleetOptions FleetWithService() {
    FleetOptions made = this->options.fleet;
    made.group.member_delay = [this](const MemberId& member,
                                     const MemberBatch& batch) {
      if (!HasCallerStatement(batch)) return nanoseconds(0);
      if (this->InTrouble()) ++this->result.attempts;
      const nanoseconds service = this->options.service;
      if (!this->options.slowness) return service;
      const double factor =
          this->options.slowness(member, this->queue.Now() - this->trouble_at);
      return std::chrono::duration_cast<nanoseconds>(service * factor);
    };
    made.group.on_commit = [this](const MemberId&, const FakeEntry& entry) {
      this->workload.OnCommit(entry);
    };
    return made;
  }

  ReadWorkloadHooks Hooks() {
    ReadWorkloadHooks hooks;
    hooks.submit = [this](std::size_t proxy, StatementRequest request,
                          ReplyHook reply) {
      request.database = this->fleet.Database();
      if (this->InTrouble()) ++this->result.requests;
      if (request.kind == RequestKind::kRead) {
        reply = this->Timed(std::move(reply));
      }
      this->fleet.Submit(proxy, request, std::move(reply));
    };
    hooks.members = [this]() -> const std::map<MemberId, FakeMember>& {
      return this->fleet.Group().Members();
    };
    hooks.latency = [this](const FakeMember& member, std::size_t proxy) {
      const std::size_t zone = proxy / this->options.fleet.proxies_per_zone;
      return this->fleet.Net().Latency(member.info.zone,
                                       this->options.fleet.zones[zone]);
    };
    return hooks;
  }

  ReplyHook Timed(ReplyHook reply) {
    const auto sent_at = this->queue.Now();
    const auto start = this->trouble_at - kTrialCalm;
    const auto second =
        static_cast<std::size_t>((sent_at - start) / seconds(1));
    if (second >= this->times.size()) this->times.resize(second + 1);
    if (second >= this->result.seconds.size()) {
      this->result.seconds.resize(second + 1);
    }
    ++this->result.seconds[second].sent;
    return [this, second, sent_at, reply](const Outcome& outcome) {
      if (std::holds_alternative<Answered>(outcome)) {
        ++this->result.seconds[second].answered;
        this->times[second].push_back(this->queue.Now() - sent_at);
      }
      reply(outcome);
    };
  }

  void Summarize() {
    for (std::size_t i = 0; i < this->times.size(); ++i) {
      std::vector<nanoseconds>& taken = this->times[i];
      if (taken.empty()) continue;
      std::sort(taken.begin(), taken.end());
      this->result.seconds[i].p99 = std::chrono::duration_cast<microseconds>(
          taken[taken.size() * 99 / 100]);
    }
  }

  SlowMemberOptions options;
  EventQueue queue;
  steady_clock::time_point trouble_at;
  SlowMemberResult result;
  std::vector<std::vector<nanoseconds>> times;
  Fleet fleet;
  ReadWorkload workload;
};

}  // namespace

microseconds SlowMemberResult::WorstP99(std::size_t from,
                                        std::size_t to) const {
  microseconds worst{0};
  for (std::size_t i = from; i < std::min(to, this->seconds.size()); ++i) {
    worst = std::max(worst, this->seconds[i].p99);
  }
  return worst;
}

double SlowMemberResult::LeastAnswered(std::size_t from, std::size_t to) const {
  double least = 1;
  for (std::size_t i = from; i < std::min(to, this->seconds.size()); ++i) {
    const ReadSecond& second = this->seconds[i];
    if (second.sent == 0) continue;
    least = std::min(least, static_cast<double>(second.answered) /
                                static_cast<double>(second.sent));
  }
  return least;
}

SlowMemberOptions KraanwaterTrial() {
  SlowMemberOptions options;
  options.fleet = KraanwaterOptions();
  return options;
}

SlowMemberOptions WanjiruTrial() {
  SlowMemberOptions options;
  options.fleet = WanjiruOptions();
  options.workload.callers = 65;
  options.workload.think_time = milliseconds(200);
  options.workload.to_callers = options.fleet.to_callers;
  return options;
}

SlowMemberResult RunSlowMemberTrial(const SlowMemberOptions& options) {
  return Trial(options).Run();
}

}  // namespace lacewingferry::model
