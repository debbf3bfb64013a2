#include "bench/model/planned_run.h"

#include <map>
#include <memory>
#include <random>
#include <utility>

#include "bench/model/event_queue.h"
#include "bench/model/fleet.h"
#include "bench/model/random_length.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

/** Connections are open after this. */
constexpr milliseconds kWarmUp{500};
/** The replica leaves and the proxy stops within this. */
constexpr milliseconds kLatestChange{4000};
/** The age that reads accept. */
constexpr milliseconds kAcceptedAge{1000};
constexpr milliseconds kTimeout{1500};
/** As in the program: peers take note of a stop within the first, and a proxy
 * that stops looks this often whether it has finished. */
constexpr milliseconds kPeerNotice{1000};
constexpr milliseconds kDrainCheck{50};
constexpr milliseconds kRest{3000};

/** One run: the fleet and its callers. */
class PlannedRun {
 public:
  explicit PlannedRun(const PlannedOptions& planned_options)
      : options(planned_options),
        random(planned_options.seed),
        fleet(this->queue, this->MakeFleetOptions()) {}

  History Run() {
    this->queue.RunUntil(this->queue.Now() + kWarmUp);
    this->history.works.resize(this->options.works);
    for (std::size_t i = 0; i < this->options.works; ++i) {
      this->queue.After(RandomLength(this->options.length, this->random),
                        [this, i] { this->StartWork(i); });
    }
    this->queue.After(RandomLength(kLatestChange, this->random),
                      [this] { this->Leave(); });
    this->queue.After(RandomLength(kLatestChange, this->random),
                      [this] { this->Stop(); });
    this->queue.RunUntil(this->queue.Now() + this->options.length + kRest);
    const FakeMember& primary = this->fleet.Group().Member(this->Primary());
    for (const FakeEntry& entry : primary.log) {
      this->history.log.push_back(entry.puts);
    }
    return this->history;
  }

 private:
  FleetOptions MakeFleetOptions() {
    FleetOptions made = KraanwaterOptions();
    made.proxies_per_zone = 2;
    made.wrap_port = [this](MemberPort port) {
      return this->NoteUses(std::move(port));
    };
    return made;
  }

  /** Notes which member gets work through a proxy's connections. */
  MemberPort NoteUses(MemberPort port) {
    const auto members = std::make_shared<std::map<ConnectionId, MemberId>>();
    MemberPort noting = port;
    noting.open = [port, members](ConnectionId id, const MemberInfo& info) {
      (*members)[id] = info.id;
      port.open(id, info);
    };
    noting.execute = [this, port, members](ConnectionId id,
                                           const MemberBatch& batch) {
      if (HasCallerStatement(batch)) {
        this->history.uses.push_back(
            {(*members)[id].Value(), this->queue.Now()});
      }
      port.execute(id, batch);
    };
    return noting;
  }

  MemberId Primary() const { return this->fleet.MemberName(0); }

  void Leave() {
    const MemberId id = this->fleet.MemberName(1 + this->random() % 2);
    this->history.leavings.push_back({id.Value(), this->queue.Now()});
    if (!this->options.leaving_is_heard) return;
    this->fleet.Group().Member(id).info.leaving = true;
    this->fleet.Publish(1, this->Primary());
  }

  void Stop() {
    this->stopping = this->random() % this->fleet.ProxyCount();
    this->stopped_at = this->queue.Now();
    ++this->history.planned_stops;
    if (!this->options.drains) {
      this->fleet.KillProxy(*this->stopping);
      this->fleet.Publish(1, this->Primary());
      return;
    }
    this->fleet.StartDraining(*this->stopping);
    this->fleet.Publish(1, this->Primary());
    this->EndStopWhenDone();
  }

  void EndStopWhenDone() {
    const TrafficShard& shard = this->fleet.Shard(*this->stopping);
    const bool finished =
        shard.Unfinished() == 0 && shard.OpenTransactions() == 0;
    if (finished && this->queue.Now() >= this->stopped_at + kPeerNotice) {
      this->fleet.KillProxy(*this->stopping);
      this->fleet.Publish(1, this->Primary());
      return;
    }
    this->queue.After(kDrainCheck, [this] { this->EndStopWhenDone(); });
  }

  /** A proxy that takes new requests. */
  std::size_t AnyProxy() {
    std::size_t proxy = this->random() % this->fleet.ProxyCount();
    if (proxy == this->stopping) proxy = (proxy + 1) % this->fleet.ProxyCount();
    return proxy;
  }

  void StartWork(std::size_t number) {
    HistoryWork& work = this->history.works[number];
    work.name = "w" + std::to_string(number);
    work.keys = {work.name + "/a"};
    StatementRequest request;
    request.database = this->fleet.Database();
    request.kind = RequestKind::kWrite;
    request.timeout = kTimeout;
    request.statement = {
        "PUT", {SqlValue(work.keys[0]), SqlValue(ValueOf(work.keys[0]))}};
    this->fleet.Submit(this->AnyProxy(), request,
                       [this, number](const Outcome& outcome) {
                         this->Note(number, outcome);
                       });
    request.kind = RequestKind::kRead;
    request.max_age = kAcceptedAge;
    request.statement = {"GET", {SqlValue("w0/a")}};
    this->fleet.Submit(this->AnyProxy(), request, [](const Outcome&) {});
  }

  void Note(std::size_t number, const Outcome& outcome) {
    HistoryWork& work = this->history.works[number];
    work.told = Told::kUnknown;
    if (std::holds_alternative<NotRun>(outcome)) work.told = Told::kNotRun;
    const auto* answer = std::get_if<Answered>(&outcome);
    if (answer == nullptr) return;
    work.told = Told::kAnswered;
    work.term = answer->position.term;
    work.told_at = this->fleet.AnswerMadeAt();
  }

  PlannedOptions options;
  EventQueue queue;
  std::mt19937_64 random;
  History history;
  Fleet fleet;
  std::optional<std::size_t> stopping;
  std::chrono::steady_clock::time_point stopped_at;
};

}  // namespace

History RunPlannedChanges(const PlannedOptions& options) {
  return PlannedRun(options).Run();
}

}  // namespace lacewingferry::model
