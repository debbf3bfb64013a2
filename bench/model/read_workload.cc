#include "bench/model/read_workload.h"

#include <algorithm>
#include <array>
#include <utility>

#include "lacewingferry/core/session_positions.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/** The ages that the callers state. */
constexpr std::array<milliseconds, 4> kStatedAges{
    milliseconds(300), milliseconds(1000), milliseconds(3000),
    milliseconds(8000)};
/** The oracle looks at the members this often while a read may wait. */
constexpr milliseconds kOracleStep{5};

std::string KeyOf(std::size_t caller) {
  return "key-" + std::to_string(caller);
}

std::uint64_t VersionOf(const Answered& answer) {
  if (answer.result.rows.empty()) return 0;
  return std::stoull(answer.result.rows.front().front().value());
}

}  // namespace

double ReadWorkloadResult::ReplicaShare() const {
  return this->lawful == 0 ? 1.0
                           : static_cast<double>(this->lawful_by_replica) /
                                 static_cast<double>(this->lawful);
}

ReadWorkload::ReadWorkload(EventQueue& event_queue,
                           ReadWorkloadHooks workload_hooks,
                           ReadWorkloadOptions workload_options,
                           std::uint64_t seed)
    : queue(event_queue),
      hooks(std::move(workload_hooks)),
      options(workload_options),
      random(seed),
      callers(workload_options.callers) {}

void ReadWorkload::Start(steady_clock::time_point stop) {
  this->end = stop;
  for (std::size_t i = 0; i < this->callers.size(); ++i) {
    this->callers[i].number = i;
    this->callers[i].proxy = this->random() % this->options.proxies;
    this->Next(this->callers[i]);
  }
}

void ReadWorkload::Next(Caller& caller) {
  const nanoseconds most = 2 * this->options.think_time;
  const auto pause = static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(most.count()));
  this->queue.After(nanoseconds(pause), [this, &caller] {
    if (this->queue.Now() < this->end) this->Act(caller);
  });
}

void ReadWorkload::Act(Caller& caller) {
  if (this->Percent() < this->options.roams) {
    caller.proxy = this->random() % this->options.proxies;
  }
  const int kind = this->Percent();
  if (kind < this->options.writes) {
    this->Write(caller);
  } else if (kind < this->options.writes + this->options.session_reads) {
    this->SessionRead(caller);
  } else {
    this->StatedAgeRead(caller);
  }
}

void ReadWorkload::Write(Caller& caller) {
  StatementRequest request;
  request.kind = RequestKind::kWrite;
  request.timeout = this->options.timeout;
  request.session = SessionId(KeyOf(caller.number));
  const std::uint64_t version = ++caller.written;
  request.statement = {
      "PUT",
      {SqlValue(KeyOf(caller.number)), SqlValue(std::to_string(version))}};
  ++this->result.writes;
  const auto sent_at = this->queue.Now();
  this->hooks.submit(
      caller.proxy, request,
      [this, &caller, version, sent_at](const Outcome& outcome) {
        caller.token =
            AdvanceToken(caller.token, DatabaseId("database-1"), outcome);
        if (std::holds_alternative<Answered>(outcome)) {
          caller.acknowledged = version;
          this->result.write_times.push_back(this->queue.Now() - sent_at);
        } else if (std::holds_alternative<UnknownOutcome>(outcome)) {
          ++this->result.unknown;
        } else {
          ++this->result.refused;
        }
        this->Next(caller);
      });
}

void ReadWorkload::SessionRead(Caller& caller) {
  StatementRequest request;
  request.session = SessionId(KeyOf(caller.number));
  request.session_position =
      FindPosition(caller.token, DatabaseId("database-1"));
  const bool own = this->Percent() < 70;
  auto read = std::make_shared<Read>();
  read->key =
      KeyOf(own ? caller.number : this->random() % this->callers.size());
  if (own) read->own_version = caller.acknowledged;
  read->seen_version = caller.seen[read->key];
  read->position = request.session_position.value_or(LogPosition{});
  // Without a position no replica can prove that it has the session's writes.
  const bool provable = request.session_position.has_value();
  this->Send(caller, std::move(request), provable ? read : nullptr);
  if (!provable) --this->result.reads;
}

void ReadWorkload::StatedAgeRead(Caller& caller) {
  StatementRequest request;
  auto read = std::make_shared<Read>();
  read->key = KeyOf(this->random() % this->callers.size());
  read->max_age = kStatedAges[this->random() % kStatedAges.size()];
  request.max_age = read->max_age;
  this->Send(caller, std::move(request), read);
}

void ReadWorkload::Send(Caller& caller, StatementRequest request,
                        const ReadPtr& read) {
  request.kind = RequestKind::kRead;
  request.timeout = this->options.timeout;
  ++this->result.reads;
  if (read == nullptr) {
    request.statement = {"GET", {SqlValue(KeyOf(caller.number))}};
    this->hooks.submit(
        caller.proxy, request, [this, &caller](const Outcome& outcome) {
          caller.token =
              AdvanceToken(caller.token, DatabaseId("database-1"), outcome);
          this->Next(caller);
        });
    return;
  }
  read->sent_at = this->queue.Now();
  read->proxy = caller.proxy;
  request.statement = {"GET", {SqlValue(read->key)}};
  this->queue.After(this->options.to_callers,
                    [this, read] { this->AskOracle(read); });
  const bool session = !request.session.Empty();
  this->hooks.submit(caller.proxy, request,
                     [this, &caller, read, session](const Outcome& outcome) {
                       this->OnReadAnswer(caller, *read, outcome, session);
                       this->Next(caller);
                     });
}

void ReadWorkload::OnReadAnswer(Caller& caller, const Read& read,
                                const Outcome& outcome, bool session) {
  const auto* answer = std::get_if<Answered>(&outcome);
  if (answer == nullptr) {
    ++this->result.refused;
    return;
  }
  ++this->result.answered_reads;
  this->result.read_times.push_back(this->queue.Now() - read.sent_at);
  if (answer->served_by_replica) {
    ++this->result.by_replica;
    if (read.lawful) ++this->result.lawful_by_replica;
  }
  const std::uint64_t version = VersionOf(*answer);
  if (session) {
    caller.token =
        AdvanceToken(caller.token, DatabaseId("database-1"), outcome);
    if (version < read.own_version) ++this->result.own_write_violations;
    if (version < read.seen_version) ++this->result.monotonic_violations;
    std::uint64_t& seen = caller.seen[read.key];
    seen = std::max(seen, version);
  }
  if (this->options.judge_ages) this->CheckAge(read, *answer, version);
}

void ReadWorkload::CheckAge(const Read& read, const Answered& answer,
                            std::uint64_t version) {
  const auto answered_at = this->queue.Now() - this->options.to_callers;
  const nanoseconds age = this->truth.AgeOf(answered_at, read.key, version);
  if (read.max_age.count() > 0 && age > read.max_age) {
    ++this->result.age_violations;
  }
  if (answer.age_bound && age > *answer.age_bound) {
    ++this->result.bound_violations;
  }
}

void ReadWorkload::AskOracle(const ReadPtr& read) {
  if (this->LawfulNow(*read)) {
    read->lawful = true;
    ++this->result.lawful;
    return;
  }
  const auto limit =
      read->sent_at + this->options.to_callers + this->options.oracle_wait;
  if (this->queue.Now() >= limit) return;
  this->queue.After(kOracleStep, [this, read] { this->AskOracle(read); });
}

bool ReadWorkload::LawfulNow(const Read& read) const {
  for (const auto& entry : this->hooks.members()) {
    const FakeMember& member = entry.second;
    if (!member.alive || member.primary) continue;
    if (read.max_age.count() == 0) {
      if (read.position <= member.Applied()) return true;
      continue;
    }
    const nanoseconds on_arrival =
        this->truth.AgeOf(this->queue.Now(), member) +
        this->hooks.latency(member, read.proxy);
    if (on_arrival <= read.max_age) return true;
  }
  return false;
}

}  // namespace lacewingferry::model
