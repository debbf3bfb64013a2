#ifndef BENCH_PROCESSES_RUN_CHECK_H_
#define BENCH_PROCESSES_RUN_CHECK_H_

// Defines CheckRun, which compares what callers were told with what the
// databases hold.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/processes/cluster_plan.h"
#include "bench/processes/run_record.h"

namespace lacewingferry::processes {

/** A primary that was killed, stopped or cut off. */
struct PrimaryFailure {
  DatabaseId database;
  MemberId member;
  std::chrono::steady_clock::time_point at;
};

/** A member's promotion in a term of its own, as its log tells. */
struct MemberPromotion {
  MemberId member;
  std::chrono::steady_clock::time_point at;
};

/** The failover gap of one failure; none if no other member acknowledged a
 * write afterwards. */
struct FailoverGap {
  PrimaryFailure failure;
  std::optional<std::chrono::milliseconds> length;
};

/** What a run showed. */
struct RunVerdict {
  std::uint64_t acknowledged = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t ran_though_refused = 0;
  std::uint64_t mixed_transactions = 0;
  std::uint64_t missed_own_writes = 0;
  std::uint64_t too_old_reads = 0;
  std::uint64_t by_replaced_primary = 0;
  /** Sessions that members refused because all their slots were in use. */
  std::uint64_t refused_sessions = 0;
  std::uint64_t requests = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t reads = 0;
  std::uint64_t reads_refused = 0;
  /** From 0 to 1. */
  double replica_share = 0;
  std::vector<FailoverGap> gaps;
  /** How often each reason was given for a write that wasn't acknowledged. */
  std::map<std::string, std::uint64_t> reasons;
  /** Each broken promise in words. */
  std::vector<std::string> broken;

  /** Counts the sessions that members refused, each a broken promise. */
  void CountRefusedSessions(std::uint64_t count);

  /** Whether all promises were kept. */
  bool Kept() const { return this->broken.empty(); }
};

/** What happened to the members during a run. */
struct MemberHistory {
  std::vector<PrimaryFailure> failures;
  std::vector<MemberPromotion> promotions;
};

/** Reads back all rows through the proxies and judges a run. Throws
 * std::runtime_error if a database doesn't answer within the limit. */
RunVerdict CheckRun(const ClusterPlan& plan, const RunRecord& record,
                    const MemberHistory& history,
                    std::chrono::milliseconds limit);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_RUN_CHECK_H_
