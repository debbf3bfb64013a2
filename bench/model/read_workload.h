#ifndef BENCH_MODEL_READ_WORKLOAD_H_
#define BENCH_MODEL_READ_WORKLOAD_H_

// Defines ReadWorkload, callers who roam between proxies, write, read what
// they wrote and read data of a stated age.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/fleet.h"
#include "bench/model/read_truth.h"
#include "lacewingferry/core/session_token.h"

namespace lacewingferry::model {

/** Where the workload sends requests, and the members that it judges by. */
struct ReadWorkloadHooks {
  std::function<void(std::size_t proxy, const StatementRequest&, ReplyHook)>
      submit;
  std::function<const std::map<MemberId, FakeMember>&()> members;
  /** The one-way latency from a member to a proxy. */
  std::function<std::chrono::nanoseconds(const FakeMember&, std::size_t proxy)>
      latency;
};

/** The callers and what they ask. */
struct ReadWorkloadOptions {
  std::size_t callers = 75;
  std::size_t proxies = 15;
  std::chrono::nanoseconds to_callers{std::chrono::milliseconds(1)};
  /** The mean pause between an answer and the caller's next request. */
  std::chrono::milliseconds think_time{100};
  /** Of 100 requests so many are writes, and so many session reads. */
  int writes = 20;
  int session_reads = 40;
  /** Of 100 requests of a caller so many go to another proxy than the last. */
  int roams = 30;
  std::chrono::milliseconds timeout{2000};
  /** The replica waits that the oracle grants. */
  std::chrono::milliseconds oracle_wait{100};
  /** Whether commit times are those of one primary, so that ages can be
   * judged. */
  bool judge_ages = true;
};

/** What a run gave. */
struct ReadWorkloadResult {
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t answered_reads = 0;
  /** Reads that replicas served. */
  std::uint64_t by_replica = 0;
  /** Reads that some replica could lawfully have served within the wait. */
  std::uint64_t lawful = 0;
  /** Those of them that a replica did serve. */
  std::uint64_t lawful_by_replica = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t own_write_violations = 0;
  std::uint64_t monotonic_violations = 0;
  std::uint64_t age_violations = 0;
  std::uint64_t bound_violations = 0;
  std::vector<std::chrono::nanoseconds> read_times;
  std::vector<std::chrono::nanoseconds> write_times;

  /** Of the reads that a replica could lawfully have served, the share that
   * one did. */
  double ReplicaShare() const;

  /** Answers that the truth contradicts. */
  std::uint64_t Violations() const {
    return this->own_write_violations + this->monotonic_violations +
           this->age_violations + this->bound_violations;
  }
};

/** Runs callers until stopped and checks every answer against the truth. */
class ReadWorkload {
 public:
  ReadWorkload(EventQueue& queue, ReadWorkloadHooks hooks,
               ReadWorkloadOptions options, std::uint64_t seed);

  /** Takes a commit of the group. */
  void OnCommit(const FakeEntry& entry) {
    this->truth.OnCommit(this->queue.Now(), entry);
  }

  /** Starts all callers; they begin no request after the end. */
  void Start(std::chrono::steady_clock::time_point end);

  const ReadWorkloadResult& Result() const { return this->result; }

 private:
  struct Caller {
    std::size_t number = 0;
    std::size_t proxy = 0;
    SessionToken token;
    std::uint64_t acknowledged = 0;
    /** The newest version seen of each key in session reads. */
    std::map<std::string, std::uint64_t> seen;
    bool unknown_write = false;
    std::uint64_t written = 0;
  };
  struct Read {
    std::string key;
    std::chrono::steady_clock::time_point sent_at;
    std::uint64_t own_version = 0;
    std::uint64_t seen_version = 0;
    std::chrono::milliseconds max_age{0};
    LogPosition position;
    std::size_t proxy = 0;
    bool lawful = false;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void Next(Caller& caller);
  void Act(Caller& caller);
  void Write(Caller& caller);
  void SessionRead(Caller& caller);
  void StatedAgeRead(Caller& caller);
  void Send(Caller& caller, StatementRequest request, const ReadPtr& read);
  void OnReadAnswer(Caller& caller, const Read& read, const Outcome& outcome,
                    bool session);
  void CheckAge(const Read& read, const Answered& answer,
                std::uint64_t version);
  /** Looks at the members while the read may wait. A read of a stated age is
   * lawful if the data is young enough when it reaches the proxy. */
  void AskOracle(const ReadPtr& read);
  bool LawfulNow(const Read& read) const;
  int Percent() { return static_cast<int>(this->random() % 100); }

  EventQueue& queue;
  ReadWorkloadHooks hooks;
  ReadWorkloadOptions options;
  std::mt19937_64 random;
  std::vector<Caller> callers;
  ReadTruth truth;
  ReadWorkloadResult result;
  std::chrono::steady_clock::time_point end;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_READ_WORKLOAD_H_
