#include "bench/processes/stored_rows.h"

#include <stdexcept>
#include <vector>

#include "bench/processes/poll_until.h"
#include "bench/processes/statement_client.h"
#include "bench/processes/workload_tables.h"

namespace lacewingferry::processes {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{5000};

/** The rows of a plain read, which the primary answers, at any proxy. */
std::vector<std::vector<SqlValue>> ReadAll(const ClusterPlan& plan,
                                           const DatabaseId& database,
                                           const std::string& sql,
                                           std::chrono::milliseconds limit) {
  StatementRequest request;
  request.database = database;
  request.statement.sql = sql;
  request.timeout = kReadTimeout;
  std::vector<std::vector<SqlValue>> rows;
  const bool read = PollUntil(limit, [&] {
    for (const PlannedNode& proxy : plan.proxies) {
      const auto reply = StatementClient(proxy.listen).Send(request, "");
      const auto* answer = std::get_if<Answered>(&reply.outcome);
      if (answer == nullptr || answer->served_by_replica) continue;
      rows = answer->result.rows;
      return true;
    }
    return false;
  });
  if (!read) throw std::runtime_error(database.Value() + " can't be read back");
  return rows;
}

}  // namespace

std::uint32_t StoredRows::CountOf(const RowKey& key) const {
  const auto found = this->counts.find(key);
  return found == this->counts.end() ? 0 : found->second;
}

std::int64_t StoredRows::ReadingOf(const RowKey& key) const {
  const auto found = this->readings.find(key);
  return found == this->readings.end() ? 0 : found->second;
}

StoredRows ReadStoredRows(const ClusterPlan& plan,
                          std::chrono::milliseconds limit) {
  StoredRows stored;
  for (const DatabaseId& database : plan.databases) {
    for (const std::string& table : TaggedTables()) {
      const auto rows = ReadAll(plan, database, CountAllSql(table), limit);
      for (const auto& row : rows) {
        stored.counts[RowKey{database, table, row.at(0).value()}] =
            static_cast<std::uint32_t>(std::stoul(row.at(1).value()));
      }
    }
    for (const auto& row : ReadAll(plan, database, kAllReadingsSql, limit)) {
      stored.readings[RowKey{database, "", row.at(0).value()}] =
          std::stoll(row.at(1).value());
    }
  }
  return stored;
}

}  // namespace lacewingferry::processes
