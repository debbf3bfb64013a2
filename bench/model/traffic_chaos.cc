#include "bench/model/traffic_chaos.h"

#include <limits>
#include <memory>
#include <random>
#include <utility>

#include "bench/model/chaos_control.h"
#include "bench/model/event_queue.h"
#include "bench/model/fleet.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** How often a caller sends an unanswered request again. */
constexpr int kMostSends = 4;
/** The time until a replica applies what it has received. */
constexpr milliseconds kShortLag{15};
constexpr milliseconds kLongLag{150};
/** The age that a caller accepts where it states one. */
constexpr milliseconds kAcceptedAge{100};
/** The time that a caller waits for an answer before it sends again. */
constexpr milliseconds kCallerPatience{1500};
/** The time limit that it states. */
constexpr milliseconds kTimeout{1000};
/** The time after the last fault in which all comes to rest. */
constexpr milliseconds kRest{4000};

/** Stands for a term that no later one follows. */
constexpr std::uint64_t kNoTerm = std::numeric_limits<std::uint64_t>::max();

/** One run: the fleet, its control, and the callers. */
class ChaosRun {
 public:
  explicit ChaosRun(const ChaosOptions& chaos_options)
      : options(chaos_options),
        random(chaos_options.seed),
        fleet(this->queue, MakeFleetOptions(chaos_options)),
        control(this->queue, this->fleet, this->random,
                ControlFaults{chaos_options.lease_wall,
                              chaos_options.most_advanced}) {
    if (!this->options.majority_wall) this->fleet.SetGroupSize(1);
  }

  History Run() {
    this->control.Start(this->options.length);
    for (std::size_t i = 0; i < this->options.works; ++i) {
      HistoryWork work;
      work.name = "w" + std::to_string(i);
      work.session = work.name;
      this->history.works.push_back(work);
    }
    for (std::size_t i = 0; i < this->options.works; ++i) {
      const auto at = milliseconds(this->Pick(this->options.length.count()));
      this->queue.After(at, [this, i] { this->StartWork(i); });
    }
    this->queue.RunUntil(this->queue.Now() + this->options.length + kRest);
    this->history.promoted_at = this->control.PromotedAt();
    if (this->options.seats) {
      this->history.turned_away = this->fleet.Group().TurnedAway();
    }
    const FakeMember& primary =
        this->fleet.Group().Member(this->control.Primary());
    for (const FakeEntry& entry : primary.log) {
      this->history.log.push_back(entry.puts);
    }
    return this->history;
  }

 private:
  static FleetOptions MakeFleetOptions(const ChaosOptions& chaos_options) {
    FleetOptions made = KraanwaterOptions();
    made.proxies_per_zone = 2;
    made.first_lease = steady_clock::time_point::min();
    made.group.service_time = [](const MemberBatch&) {
      return milliseconds(2);
    };
    made.group.apply_lag = [](const MemberId& member) {
      return member == MemberId("member-1") ? kShortLag : kLongLag;
    };
    made.seats = chaos_options.seats;
    made.group.keeps_records = chaos_options.identifiers;
    if (chaos_options.adjust) chaos_options.adjust(made);
    return made;
  }

  std::uint64_t Pick(std::int64_t below) {
    return this->random() % static_cast<std::uint64_t>(below);
  }

  StatementRequest Request(RequestKind kind) {
    StatementRequest request;
    request.database = this->fleet.Database();
    request.kind = kind;
    request.timeout = kTimeout;
    return request;
  }

  StatementRequest Put(const std::string& key) {
    StatementRequest request = this->Request(RequestKind::kWrite);
    request.statement = {"PUT", {SqlValue(key), SqlValue(ValueOf(key))}};
    return request;
  }

  std::size_t AnyProxy() {
    return this->Pick(static_cast<std::int64_t>(this->fleet.ProxyCount()));
  }

  void StartWork(std::size_t number) {
    HistoryWork& work = this->history.works[number];
    this->StartRead();
    const auto kind = this->Pick(4);
    if (kind == 0) {
      this->StartTransaction(number);
      return;
    }
    work.keys = {work.name + "/a"};
    StatementRequest request = this->Put(work.keys[0]);
    if (kind != 1) request.request_id = RequestId(work.name);
    this->Send(number, request, kMostSends);
  }

  void Submit(std::size_t proxy, StatementRequest request, ReplyHook reply) {
    if (this->options.on_request) this->options.on_request(request);
    this->fleet.Submit(proxy, request, std::move(reply));
  }

  /** Reads any work's key, or from data of some age what was acknowledged
   * last. */
  void StartRead() {
    const std::string key =
        "w" +
        std::to_string(
            this->Pick(static_cast<std::int64_t>(this->options.works))) +
        "/a";
    StatementRequest request = this->Request(RequestKind::kRead);
    const bool aged = this->Pick(2) == 0;
    if (aged) request.max_age = kAcceptedAge;
    this->Read(request, aged && !this->newest.empty() ? this->newest : key);
  }

  /** Reads what the session itself has written, through any proxy. */
  void ReadOwn(const HistoryWork& work, const LogPosition& position) {
    StatementRequest request = this->Request(RequestKind::kRead);
    request.session = SessionId(work.session);
    request.session_position = position;
    if (this->Pick(2) == 0) request.max_age = milliseconds(2 * kRest);
    this->Read(request, work.keys[0]);
  }

  void Read(StatementRequest request, const std::string& key) {
    request.statement = {"GET", {SqlValue(key)}};
    HistoryRead read{key, std::nullopt, request.session.Value()};
    read.max_age = request.max_age;
    read.sent_at = this->queue.Now();
    this->Submit(this->AnyProxy(), request,
                 [this, read](const Outcome& outcome) mutable {
                   const auto* answer = std::get_if<Answered>(&outcome);
                   if (answer == nullptr) return;
                   read.by_replica = answer->served_by_replica;
                   if (!answer->result.rows.empty())
                     read.value = answer->result.rows[0][0];
                   this->history.reads.push_back(read);
                 });
  }

  /** Sends a request until its fate is known; each sending goes through any
   * proxy, for the first may be dead. */
  void Send(std::size_t number, const StatementRequest& request, int left) {
    auto settled = std::make_shared<bool>(false);
    this->Submit(
        this->AnyProxy(), request,
        [this, number, request, left, settled](const Outcome& outcome) {
          if (std::exchange(*settled, true)) return;
          this->OnOutcome(number, request, left, outcome);
        });
    this->queue.After(kCallerPatience, [this, number, request, left, settled] {
      if (std::exchange(*settled, true)) return;
      this->OnOutcome(number, request, left, UnknownOutcome{"no answer"});
    });
  }

  void OnOutcome(std::size_t number, const StatementRequest& request, int left,
                 const Outcome& outcome) {
    HistoryWork& work = this->history.works[number];
    const bool first = work.told == Told::kNothing;
    this->Note(work, outcome, first);
    if (work.told != Told::kUnknown || request.request_id.Empty()) return;
    if (left > 1) this->Send(number, request, left - 1);
  }

  /** A refusal of a later sending says nothing of an earlier one. */
  void Note(HistoryWork& work, const Outcome& outcome, bool first) {
    if (const auto* answer = std::get_if<Answered>(&outcome)) {
      work.told = Told::kAnswered;
      // The position of a repeated answer may be of an earlier term than the
      // one that answered.
      work.term = answer->repeated ? kNoTerm : answer->position.term;
      work.told_at = this->fleet.AnswerMadeAt();
      this->newest = work.keys[0];
      this->ReadOwn(work, answer->position);
    } else if (std::holds_alternative<UnknownOutcome>(outcome) || !first) {
      work.told = this->options.truthful ? Told::kUnknown : Told::kNotRun;
    } else {
      work.told = Told::kNotRun;
    }
  }

  void StartTransaction(std::size_t number) {
    HistoryWork& work = this->history.works[number];
    work.keys = {work.name + "/a", work.name + "/b"};
    const std::size_t proxy = this->AnyProxy();
    this->Submit(proxy, this->Request(RequestKind::kBegin),
                 [this, number](const Outcome& outcome) {
                   const auto* begun = std::get_if<Answered>(&outcome);
                   if (begun == nullptr) {
                     this->history.works[number].told = Told::kNotRun;
                     return;
                   }
                   this->Step(number, begun->transaction, 0);
                 });
  }

  void Step(std::size_t number, const TransactionId& transaction,
            std::size_t step) {
    HistoryWork& work = this->history.works[number];
    if (step == work.keys.size() && this->Pick(4) == 0) {
      StatementRequest rollback = this->Request(RequestKind::kRollback);
      rollback.transaction = transaction;
      work.told = Told::kNotRun;
      this->Submit(this->AnyProxy(), rollback, [](const Outcome&) {});
      return;
    }
    if (step == work.keys.size()) {
      StatementRequest commit = this->Request(RequestKind::kCommit);
      commit.transaction = transaction;
      if (this->Pick(2) == 0) commit.request_id = RequestId(work.name);
      this->Send(number, commit, kMostSends);
      return;
    }
    StatementRequest put = this->Put(work.keys[step]);
    put.transaction = transaction;
    this->Submit(this->AnyProxy(), put,
                 [this, number, transaction, step](const Outcome& outcome) {
                   if (!std::holds_alternative<Answered>(outcome)) {
                     this->history.works[number].told = Told::kNotRun;
                     return;
                   }
                   this->Step(number, transaction, step + 1);
                 });
  }

  ChaosOptions options;
  EventQueue queue;
  std::mt19937_64 random;
  Fleet fleet;
  ChaosControl control;
  History history;
  /** The key that was acknowledged last. */
  std::string newest;
};

}  // namespace

History RunTrafficChaos(const ChaosOptions& options) {
  return ChaosRun(options).Run();
}

}  // namespace lacewingferry::model
