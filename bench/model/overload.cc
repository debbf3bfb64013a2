#include "bench/model/overload.h"

#include <algorithm>
#include <random>
#include <string>

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** The time before the load starts, in which connections open. */
constexpr seconds kWarmUp{1};
/** The pause after a refusal. */
constexpr milliseconds kRefusedPause{20};
/** The customers besides the first. */
constexpr std::size_t kOtherCustomers = 9;

/** Callers that each send their next request after the last one's answer. */
class Load {
 public:
  explicit Load(const OverloadOptions& load_options)
      : options(load_options),
        random(load_options.seed),
        fleet(this->queue, WithService(load_options)),
        served(load_options.callers) {}

  OverloadResult Run() {
    if (this->options.ack_at_commit) {
      this->fleet.SetGroupSize(1);
      this->fleet.Publish(1, this->fleet.MemberName(0));
    }
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
    this->end = this->queue.Now() + this->options.length;
    if (this->options.offered_per_second > 0) this->Arrive();
    for (std::size_t i = 0;
         this->options.offered_per_second == 0 && i < this->options.callers;
         ++i) {
      this->queue.After(milliseconds(this->random() % 50),
                        [this, i] { this->SendNext(i); });
    }
    this->queue.RunUntil(this->end);
    return this->Summary();
  }

 private:
  static FleetOptions WithService(const OverloadOptions& load_options) {
    FleetOptions made = load_options.fleet;
    const auto service = load_options.service;
    made.group.service_time = [service](const MemberBatch& batch) {
      return HasCallerStatement(batch) ? std::chrono::nanoseconds(service)
                                       : std::chrono::nanoseconds(0);
    };
    return made;
  }

  StatementRequest MakeRequest(std::size_t caller) {
    StatementRequest request;
    request.database = this->fleet.Database();
    request.timeout = this->options.timeout;
    request.session = SessionId("s" + std::to_string(caller));
    const bool first = caller * 100 < this->options.callers *
                                          this->options.first_customer_percent;
    request.customer = CustomerId(
        first ? "first" : "c" + std::to_string(caller % kOtherCustomers));
    const std::string key = "k" + std::to_string(this->result.sent);
    if (this->random() % 100 < this->options.read_percent) {
      request.kind = RequestKind::kRead;
      request.statement = {"GET", {SqlValue(key)}};
    } else {
      request.kind = RequestKind::kWrite;
      request.statement = {"PUT", {SqlValue(key), SqlValue("v")}};
    }
    return request;
  }

  void SendNext(std::size_t caller) {
    if (this->queue.Now() >= this->end) return;
    const StatementRequest request = this->MakeRequest(caller);
    ++this->result.sent;
    const auto sent_at = this->queue.Now();
    this->fleet.Submit(
        caller % this->fleet.ProxyCount(), request,
        [this, caller, sent_at, kind = request.kind](const Outcome& outcome) {
          this->OnOutcome(caller, sent_at, kind, outcome);
        });
  }

  void Arrive() {
    this->SendNext(this->random() % this->options.callers);
    std::exponential_distribution<double> gap(this->options.offered_per_second);
    const auto pause = std::chrono::duration<double>(gap(this->random));
    this->queue.After(
        std::chrono::duration_cast<std::chrono::nanoseconds>(pause),
        [this] { this->Arrive(); });
  }

  void OnOutcome(std::size_t caller, steady_clock::time_point sent_at,
                 RequestKind kind, const Outcome& outcome) {
    const auto took = this->queue.Now() - sent_at;
    std::chrono::nanoseconds pause = this->Think();
    if (std::holds_alternative<Answered>(outcome)) {
      ++this->served[caller];
      ++(kind == RequestKind::kRead ? this->result.served_reads
                                    : this->result.served_writes);
      this->times.push_back(std::chrono::duration_cast<microseconds>(took));
    } else if (std::holds_alternative<UnknownOutcome>(outcome)) {
      ++this->result.unknown;
    } else {
      const auto* refusal = std::get_if<NotRun>(&outcome);
      const bool early =
          refusal != nullptr && refusal->code == RefusalCode::kOverloaded;
      ++(early ? this->result.refused_early : this->result.late);
      pause += kRefusedPause;
    }
    if (this->options.offered_per_second > 0) return;
    this->queue.After(pause, [this, caller] { this->SendNext(caller); });
  }

  std::chrono::nanoseconds Think() {
    const auto mean = this->options.think;
    if (mean.count() == 0) return std::chrono::nanoseconds(0);
    std::exponential_distribution<double> pause(
        1.0 / static_cast<double>(mean.count()));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double, std::milli>(pause(this->random)));
  }

  OverloadResult Summary() {
    const FakeMember& primary =
        this->fleet.Group().Member(this->fleet.MemberName(0));
    this->result.committed = primary.log.size();
    const auto least =
        std::minmax_element(this->served.begin(), this->served.end());
    this->result.least_served = *least.first;
    this->result.most_served = *least.second;
    std::sort(this->times.begin(), this->times.end());
    if (!this->times.empty()) {
      this->result.median = this->times[this->times.size() / 2];
      this->result.p99 = this->times[this->times.size() * 99 / 100];
    }
    return this->result;
  }

  OverloadOptions options;
  EventQueue queue;
  std::mt19937_64 random;
  Fleet fleet;
  steady_clock::time_point end;
  OverloadResult result;
  std::vector<std::uint64_t> served;
  std::vector<microseconds> times;
};

}  // namespace

OverloadResult RunOverload(const OverloadOptions& options) {
  return Load(options).Run();
}

}  // namespace lacewingferry::model
