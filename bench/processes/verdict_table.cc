#include "bench/processes/verdict_table.h"

#include <algorithm>
#include <iomanip>
#include <string>

namespace lacewingferry::processes {
namespace {

constexpr int kLabelWidth = 44;
constexpr std::size_t kMostBrokenShown = 20;

template <typename Value>
void WriteRow(std::ostream& out, const std::string& label, const Value& value) {
  out << "  " << std::left << std::setw(kLabelWidth) << label << value << "\n";
}

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
    WriteRow(out, "failover gap, " + gap.failure.member.Value(), length);
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
  WriteRow(out, "reads served by replicas", Percent(verdict.replica_share));
  WriteGaps(verdict, out);
  out << "requests\n";
  WriteRow(out, "sent", verdict.requests);
  WriteRow(out, "answers lost on the way", verdict.lost_answers);
  WriteRow(out, "reads answered", verdict.reads);
  WriteRow(out, "reads not answered", verdict.reads_refused);
  out << "writes and transactions\n";
  WriteRow(out, "acknowledged", verdict.acknowledged);
  WriteRow(out, "refused as not run", verdict.refused);
  WriteRow(out, "unknown to the caller", verdict.unknown);
  WriteRow(out, "rejected by the database", verdict.failed);
  for (const auto& [reason, count] : verdict.reasons) {
    out << "    " << count << " times: " << reason << "\n";
  }
  out << "promises, where each number has to be 0\n";
  WriteRow(out, "acknowledged and lost", verdict.lost);
  WriteRow(out, "ran twice", verdict.doubled);
  WriteRow(out, "ran though refused or rolled back",
           verdict.ran_though_refused);
  WriteRow(out, "transactions mixed or torn apart", verdict.mixed_transactions);
  WriteRow(out, "own writes that a session missed", verdict.missed_own_writes);
  WriteRow(out, "reads older than asked", verdict.too_old_reads);
  WriteRow(out, "acknowledged by a replaced primary",
           verdict.by_replaced_primary);
  WriteRow(out, "connections above the slots of members",
           verdict.refused_sessions);
  WriteBroken(verdict, out);
  out << (verdict.Kept() ? "verdict: all promises kept\n"
                         : "verdict: promises broken\n");
}

}  // namespace lacewingferry::processes
