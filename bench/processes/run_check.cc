#include "bench/processes/run_check.h"

#include <algorithm>

#include "bench/processes/stored_rows.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::steady_clock;

/** Judges one write after another. */
class WriteJudge {
 public:
  explicit WriteJudge(RunVerdict& target) : verdict(target) {}

  void Judge(const WriteRecord& write, std::uint32_t stored) {
    this->Count(write.fate);
    if (!write.detail.empty()) ++this->verdict.reasons[write.detail];
    // Part of a transaction's rows, or more than all.
    const bool partial = stored != 0 && stored < write.rows;
    if (stored > write.rows) {
      this->Break(&RunVerdict::doubled, "ran twice", write, stored);
    } else if (write.fate == WriteFate::kAcknowledged && stored == 0) {
      this->Break(&RunVerdict::lost, "was acknowledged and lost", write,
                  stored);
    } else if (partial) {
      this->Break(&RunVerdict::mixed_transactions, "is torn apart", write,
                  stored);
    } else if (stored != 0 && MustNotRun(write.fate)) {
      this->Break(&RunVerdict::ran_though_refused, "ran though it was refused",
                  write, stored);
    }
  }

 private:
  static bool MustNotRun(WriteFate fate) {
    return fate != WriteFate::kAcknowledged && fate != WriteFate::kUnknown;
  }

  void Count(WriteFate fate) {
    if (fate == WriteFate::kAcknowledged) ++this->verdict.acknowledged;
    if (fate == WriteFate::kNotRun) ++this->verdict.refused;
    if (fate == WriteFate::kUnknown) ++this->verdict.unknown;
    if (fate == WriteFate::kFailed) ++this->verdict.failed;
  }

  void Break(std::uint64_t RunVerdict::*count, const std::string& what,
             const WriteRecord& write, std::uint32_t stored) {
    ++(this->verdict.*count);
    this->verdict.broken.push_back(
        write.database.Value() + " " + write.table + " " + write.tag + " " +
        what + ": " + std::to_string(stored) + " of " +
        std::to_string(write.rows) + " rows, served by '" +
        write.served_by.Value() + "', told '" + write.detail + "'");
  }

  RunVerdict& verdict;
};

void JudgeMeter(const MeterRecord& meter, std::int64_t stored,
                RunVerdict& verdict) {
  if (stored >= meter.last_acknowledged && stored <= meter.last_sent) return;
  ++verdict.lost;
  verdict.broken.push_back("meter " + meter.meter + " of " +
                           meter.database.Value() + " holds " +
                           std::to_string(stored) + ", acknowledged were " +
                           std::to_string(meter.last_acknowledged) + " of " +
                           std::to_string(meter.last_sent));
}

void JudgeReads(const RunRecord& record, RunVerdict& verdict) {
  verdict.missed_own_writes = record.missed_own_write.size();
  verdict.too_old_reads = record.too_old.size();
  for (const BrokenRead& read : record.missed_own_write) {
    verdict.broken.push_back(read.database.Value() + " " +
                             read.served_by.Value() +
                             " didn't show a session its own " + read.detail);
  }
  for (const BrokenRead& read : record.too_old) {
    verdict.broken.push_back(read.database.Value() + " " +
                             read.served_by.Value() + " gave " + read.detail);
  }
}

bool Acknowledged(const WriteRecord& write, const PrimaryFailure& failure) {
  return write.fate == WriteFate::kAcknowledged &&
         write.database == failure.database && write.answered > failure.at;
}

/** When a member other than the failed one first acknowledged a write. */
std::optional<steady_clock::time_point> FirstAfter(
    const RunRecord& record, const PrimaryFailure& failure) {
  std::optional<steady_clock::time_point> first;
  for (const WriteRecord& write : record.writes) {
    if (!Acknowledged(write, failure)) continue;
    if (write.served_by == failure.member) continue;
    if (!first || write.answered < *first) first = write.answered;
  }
  return first;
}

/** Whether a replaced primary acknowledged a write that was sent after its
 * successor had acknowledged one, and answered before it led again. */
void JudgeReplaced(const RunRecord& record, const PrimaryFailure& failure,
                   steady_clock::time_point replaced,
                   steady_clock::time_point leads_again, RunVerdict& verdict) {
  for (const WriteRecord& write : record.writes) {
    const bool broken = Acknowledged(write, failure) &&
                        write.served_by == failure.member &&
                        write.sent > replaced && write.answered < leads_again;
    if (!broken) continue;
    ++verdict.by_replaced_primary;
    verdict.broken.push_back("the replaced " + failure.member.Value() +
                             " acknowledged " + write.tag);
  }
}

/** From when on a replaced primary may lead again: the next failure of its
 * database, or its next promotion. Control may have taken the successor for
 * lost without a failure that the run made. */
steady_clock::time_point MayLeadAgain(const MemberHistory& history,
                                      const PrimaryFailure& failure,
                                      steady_clock::time_point replaced) {
  auto next = steady_clock::time_point::max();
  for (const PrimaryFailure& other : history.failures) {
    const bool later =
        other.database == failure.database && other.at > failure.at;
    if (later) next = std::min(next, other.at);
  }
  for (const MemberPromotion& promotion : history.promotions) {
    const bool again =
        promotion.member == failure.member && promotion.at > replaced;
    if (again) next = std::min(next, promotion.at);
  }
  return next;
}

void JudgeFailures(const RunRecord& record, const MemberHistory& history,
                   RunVerdict& verdict) {
  for (const PrimaryFailure& failure : history.failures) {
    FailoverGap gap{failure, std::nullopt};
    if (const auto first = FirstAfter(record, failure)) {
      gap.length = std::chrono::duration_cast<std::chrono::milliseconds>(
          *first - failure.at);
      JudgeReplaced(record, failure, *first,
                    MayLeadAgain(history, failure, *first), verdict);
    }
    verdict.gaps.push_back(gap);
  }
}

}  // namespace

void RunVerdict::CountRefusedSessions(std::uint64_t count) {
  this->refused_sessions = count;
  if (count == 0) return;
  this->broken.push_back(std::to_string(count) +
                         " connections above the slots of members");
}

RunVerdict CheckRun(const ClusterPlan& plan, const RunRecord& record,
                    const MemberHistory& history,
                    std::chrono::milliseconds limit) {
  const StoredRows stored = ReadStoredRows(plan, limit);
  RunVerdict verdict;
  WriteJudge judge(verdict);
  for (const WriteRecord& write : record.writes) {
    judge.Judge(write,
                stored.CountOf({write.database, write.table, write.tag}));
  }
  for (const MeterRecord& meter : record.meters) {
    JudgeMeter(meter, stored.ReadingOf({meter.database, "", meter.meter}),
               verdict);
  }
  JudgeReads(record, verdict);
  JudgeFailures(record, history, verdict);
  verdict.requests = record.requests;
  verdict.lost_answers = record.lost_answers;
  verdict.reads = record.reads_answered;
  verdict.reads_refused = record.reads_refused;
  if (verdict.reads != 0) {
    verdict.replica_share = static_cast<double>(record.reads_by_replicas) /
                            static_cast<double>(verdict.reads);
  }
  return verdict;
}

}  // namespace lacewingferry::processes
