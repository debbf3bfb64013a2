#include "bench/processes/verdict_table.h"

#include <algorithm>
#include <string>

#include "bench/processes/verdict_row.h"

namespace lacewingferry::processes {
namespace {

constexpr std::size_t kMostBrokenShown = 20;

std::string Percent(double share) {
  constexpr double kPerMille = 1000;
  const auto tenths = static_cast<int>(share * kPerMille);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + "%";
}

void WriteGaps(const RunVerdict& verdict, std::ostream& out) {
  for (const FailoverGap& gap : verdict.gaps) {
    const std::string length =
        gap.length ? std::to_string(gap.length->count()) + " ms"
                   : std::string("no other primary took a write");
    WriteVerdictRow(out, "failover gap, " + gap.failure.member.Value(), length);
  }
}

void WriteBroken(const RunVerdict& verdict, std::ostream& out) {
  const std::size_t shown = std::min(kMostBrokenShown, verdict.broken.size());
  for (std::size_t i = 0; i < shown; ++i) {
    out << "  broken: " << verdict.broken[i] << "\n";
  }
  if (shown < verdict.broken.size()) {
    out << "  and " << verdict.broken.size() - shown << " more\n";
  }
}

}  // namespace

void WriteVerdict(const RunVerdict& verdict, std::ostream& out) {
  out << "measures\n";
  WriteVerdictRow(out, "reads served by replicas",
                  Percent(verdict.replica_share));
  WriteGaps(verdict, out);
  out << "requests\n";
  WriteVerdictRow(out, "sent", verdict.requests);
  WriteVerdictRow(out, "answers lost on the way", verdict.lost_answers);
  WriteVerdictRow(out, "reads answered", verdict.reads);
  WriteVerdictRow(out, "reads not answered", verdict.reads_refused);
  out << "writes and transactions\n";
  WriteVerdictRow(out, "acknowledged", verdict.acknowledged);
  WriteVerdictRow(out, "refused as not run", verdict.refused);
  WriteVerdictRow(out, "unknown to the caller", verdict.unknown);
  WriteVerdictRow(out, "rejected by the database", verdict.failed);
  for (const auto& [reason, count] : verdict.reasons) {
    out << "    " << count << " times: " << reason << "\n";
  }
  out << "promises, where each number has to be 0\n";
  WriteVerdictRow(out, "acknowledged and lost", verdict.lost);
  WriteVerdictRow(out, "ran twice", verdict.doubled);
  WriteVerdictRow(out, "ran though refused or rolled back",
                  verdict.ran_though_refused);
  WriteVerdictRow(out, "transactions mixed or torn apart",
                  verdict.mixed_transactions);
  WriteVerdictRow(out, "own writes that a session missed",
                  verdict.missed_own_writes);
  WriteVerdictRow(out, "reads older than asked", verdict.too_old_reads);
  WriteVerdictRow(out, "acknowledged by a replaced primary",
                  verdict.by_replaced_primary);
  WriteVerdictRow(out, "connections above the slots of members",
                  verdict.refused_sessions);
  WriteBroken(verdict, out);
  WriteVerdictEnd(out, verdict.Kept());
}

}  // namespace lacewingferry::processes
