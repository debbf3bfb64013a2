#ifndef BENCH_PROCESSES_RUN_RECORD_H_
#define BENCH_PROCESSES_RUN_RECORD_H_

// Defines RunRecord, what callers noted of their requests during a run.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry::processes {

/** What the callers were last told of a write or a transaction. */
enum class WriteFate {
  kAcknowledged,
  /** Refused as not run, each time it was sent. */
  kNotRun,
  /** The database rejected it. */
  kFailed,
  kUnknown,
  /** Rolled back by its caller, or by its proxy as it said. */
  kRolledBack,
};

/** A write that puts its tag into as many rows as it states. A transaction
 * writes its rows one by one. */
struct WriteRecord {
  DatabaseId database;
  /** The table that holds the rows. */
  std::string table;
  std::string tag;
  std::uint32_t rows = 1;
  WriteFate fate = WriteFate::kUnknown;
  MemberId served_by;
  std::chrono::steady_clock::time_point sent;
  std::chrono::steady_clock::time_point answered;
  /** What the last answer said, for a report. */
  std::string detail;
};

/** The readings of one meter, which only rise. */
struct MeterRecord {
  DatabaseId database;
  std::string meter;
  std::int64_t last_acknowledged = 0;
  std::int64_t last_sent = 0;
};

/** A read whose answer broke a promise. */
struct BrokenRead {
  DatabaseId database;
  std::string detail;
  MemberId served_by;
};

/** What one or more callers saw. */
struct RunRecord {
  std::vector<WriteRecord> writes;
  std::vector<MeterRecord> meters;
  std::vector<BrokenRead> missed_own_write;
  std::vector<BrokenRead> too_old;
  std::uint64_t requests = 0;
  std::uint64_t reads_answered = 0;
  std::uint64_t reads_by_replicas = 0;
  std::uint64_t reads_refused = 0;
  std::uint64_t lost_answers = 0;

  /** Adds another caller's record. */
  void Add(const RunRecord& other);
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_RUN_RECORD_H_
