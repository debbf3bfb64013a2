#include "standin/platform/platform_verdict.h"

#include <algorithm>
#include <iomanip>

namespace lacewingferry::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLabelWidth = 40;

template <typename Value>
void WriteRow(std::ostream& out, const char* label, const Value& value) {
  out << "  " << std::left << std::setw(kLabelWidth) << label << value << "\n";
}

void CountStore(const StoreRecord& store, std::size_t times,
                PlatformVerdict* verdict) {
  if (times > 1) ++verdict->doubled;
  switch (store.fate) {
    case StoreFate::kAcknowledged:
      ++verdict->acknowledged;
      if (times == 0) ++verdict->lost;
      return;
    case StoreFate::kNotRun:
      ++verdict->not_run;
      if (times > 0) ++verdict->ran_though_refused;
      return;
    case StoreFate::kUnknown:
      ++verdict->unknown;
      return;
  }
}

milliseconds LongestGap(const std::vector<StoreRecord>& stores) {
  std::vector<steady_clock::time_point> times;
  for (const StoreRecord& store : stores) {
    if (store.fate != StoreFate::kAcknowledged) continue;
    times.push_back(store.answered);
  }
  std::sort(times.begin(), times.end());
  steady_clock::duration longest{0};
  for (std::size_t i = 1; i < times.size(); ++i) {
    longest = std::max(longest, times[i] - times[i - 1]);
  }
  return std::chrono::duration_cast<milliseconds>(longest);
}

}  // namespace

void PlatformRecord::Add(const PlatformRecord& other) {
  this->stores.insert(this->stores.end(), other.stores.begin(),
                      other.stores.end());
  this->reads += other.reads;
  this->unanswered_reads += other.unanswered_reads;
  this->missed_own_stores += other.missed_own_stores;
}

bool PlatformVerdict::Kept() const {
  return this->lost == 0 && this->doubled == 0 &&
         this->ran_though_refused == 0 && this->missed_own_stores == 0;
}

PlatformVerdict JudgePlatformRun(
    const PlatformRecord& record,
    const std::function<std::size_t(const std::string& item)>& times_stored) {
  PlatformVerdict verdict;
  for (const StoreRecord& store : record.stores) {
    CountStore(store, times_stored(store.item), &verdict);
  }
  verdict.reads = record.reads;
  verdict.unanswered_reads = record.unanswered_reads;
  verdict.missed_own_stores = record.missed_own_stores;
  verdict.longest_gap = LongestGap(record.stores);
  return verdict;
}

void WritePlatformVerdict(const PlatformVerdict& verdict, std::ostream& out) {
  out << "measures\n";
  WriteRow(out, "longest time without a write",
           std::to_string(verdict.longest_gap.count()) + " ms");
  out << "requests\n";
  WriteRow(out, "writes acknowledged", verdict.acknowledged);
  WriteRow(out, "writes refused as not run", verdict.not_run);
  WriteRow(out, "writes unknown to the client", verdict.unknown);
  WriteRow(out, "reads answered", verdict.reads);
  WriteRow(out, "reads not answered", verdict.unanswered_reads);
  out << "promises, where each number has to be 0\n";
  WriteRow(out, "acknowledged and lost", verdict.lost);
  WriteRow(out, "ran twice", verdict.doubled);
  WriteRow(out, "ran though refused", verdict.ran_though_refused);
  WriteRow(out, "own writes that a session missed", verdict.missed_own_stores);
  out << (verdict.Kept() ? "verdict: all promises kept\n"
                         : "verdict: promises broken\n");
}

}  // namespace lacewingferry::standin
