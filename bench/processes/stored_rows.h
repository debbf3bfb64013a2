#ifndef BENCH_PROCESSES_STORED_ROWS_H_
#define BENCH_PROCESSES_STORED_ROWS_H_

// Defines ReadStoredRows, which reads what the databases hold after a run.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "bench/processes/cluster_plan.h"

namespace lacewingferry::processes {

/** A row's place: its database, its table and its tag. */
struct RowKey {
  DatabaseId database;
  std::string table;
  std::string tag;

  friend bool operator<(const RowKey& a, const RowKey& b) {
    return std::tie(a.database, a.table, a.tag) <
           std::tie(b.database, b.table, b.tag);
  }
};

/** What all databases hold. */
struct StoredRows {
  /** The number of rows of each tag. */
  std::map<RowKey, std::uint32_t> counts;
  /** The readings by meter; the key's table is empty. */
  std::map<RowKey, std::int64_t> readings;

  std::uint32_t CountOf(const RowKey& key) const;
  std::int64_t ReadingOf(const RowKey& key) const;
};

/** Reads at each database's primary. Throws std::runtime_error if it doesn't
 * answer within the limit. */
StoredRows ReadStoredRows(const ClusterPlan& plan,
                          std::chrono::milliseconds limit);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_STORED_ROWS_H_
