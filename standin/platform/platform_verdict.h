#ifndef STANDIN_PLATFORM_PLATFORM_VERDICT_H_
#define STANDIN_PLATFORM_PLATFORM_VERDICT_H_

// Defines PlatformVerdict, which compares what clients were told with what the
// members hold.

#include <chrono>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace lacewingferry::standin {

/** What a client was told of a write. */
enum class StoreFate {
  kAcknowledged,
  /** Refused with the promise that nothing ran. */
  kNotRun,
  kUnknown,
};

/** A write of an item that nothing else writes. */
struct StoreRecord {
  std::string item;
  StoreFate fate = StoreFate::kUnknown;
  std::chrono::steady_clock::time_point answered;
};

/** What clients saw. */
struct PlatformRecord {
  std::vector<StoreRecord> stores;
  std::uint64_t reads = 0;
  std::uint64_t unanswered_reads = 0;
  /** Reads that lacked an earlier write of their own session. */
  std::uint64_t missed_own_stores = 0;

  /** Adds another client's record. */
  void Add(const PlatformRecord& other);
};

/** What a run showed. */
struct PlatformVerdict {
  std::uint64_t acknowledged = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t reads = 0;
  std::uint64_t unanswered_reads = 0;
  /** The longest time between two acknowledged writes of any clients. */
  std::chrono::milliseconds longest_gap{0};
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t ran_though_refused = 0;
  std::uint64_t missed_own_stores = 0;

  /** Whether all promises were kept. */
  bool Kept() const;
};

/** Judges a run. The hook says how often the primary's log has an item. */
PlatformVerdict JudgePlatformRun(
    const PlatformRecord& record,
    const std::function<std::size_t(const std::string& item)>& times_stored);

/** Writes the counts and the verdict. */
void WritePlatformVerdict(const PlatformVerdict& verdict, std::ostream& out);

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_VERDICT_H_
