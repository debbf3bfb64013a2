#include "standin/platform/platform_verdict.h"

#include <algorithm>

#include "bench/processes/verdict_row.h"

namespace lacewingferry::standin {
namespace {

using processes::WriteVerdictEnd;
using processes::WriteVerdictRow;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

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
  WriteVerdictRow(out, "longest time without a write",
                  std::to_string(verdict.longest_gap.count()) + " ms");
  out << "requests\n";
  WriteVerdictRow(out, "writes acknowledged", verdict.acknowledged);
  WriteVerdictRow(out, "writes refused as not run", verdict.not_run);
  WriteVerdictRow(out, "writes unknown to the client", verdict.unknown);
  WriteVerdictRow(out, "reads answered", verdict.reads);
  WriteVerdictRow(out, "reads not answered", verdict.unanswered_reads);
  out << "promises, where each number has to be 0\n";
  WriteVerdictRow(out, "acknowledged and lost", verdict.lost);
  WriteVerdictRow(out, "ran twice", verdict.doubled);
  WriteVerdictRow(out, "ran though refused", verdict.ran_though_refused);
  WriteVerdictRow(out, "own writes that a session missed",
                  verdict.missed_own_stores);
  WriteVerdictEnd(out, verdict.Kept());
}

}  // namespace lacewingferry::standin
