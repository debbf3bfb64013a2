#include "bench/processes/workload_tables.h"

#include <utility>

namespace lacewingferry::processes {

const char kBookingsTable[] = "bookings";
const char kDrawsTable[] = "stores_draws";
const char kNotesTable[] = "notes";
const char kJobsTable[] = "jobs";

const char kReadingSql[] =
    "INSERT INTO meter_readings (meter, reading) VALUES ($1, $2) "
    "ON CONFLICT (meter) DO UPDATE SET reading = excluded.reading "
    "WHERE excluded.reading > meter_readings.reading";
const char kAllReadingsSql[] = "SELECT meter, reading FROM meter_readings";
const char kPageSql[] =
    "SELECT tag, caller FROM bookings ORDER BY tag DESC LIMIT 10";

std::vector<std::string> TaggedTables() {
  return {kBookingsTable, kDrawsTable, kNotesTable, kJobsTable};
}

std::vector<std::string> CreateTablesSql() {
  std::vector<std::string> statements = {
      "CREATE TABLE IF NOT EXISTS meter_readings ("
      "meter TEXT PRIMARY KEY, reading BIGINT NOT NULL)"};
  for (const std::string& table : TaggedTables()) {
    statements.push_back("CREATE TABLE IF NOT EXISTS " + table +
                         " (tag TEXT NOT NULL, caller TEXT NOT NULL)");
    std::string index = "CREATE INDEX IF NOT EXISTS ";
    index.append(table).append("_by_tag ON ").append(table).append(" (tag)");
    statements.push_back(std::move(index));
  }
  return statements;
}

std::string InsertSql(const std::string& table) {
  return "INSERT INTO " + table + " (tag, caller) VALUES ($1, $2)";
}

std::string CountSql(const std::string& table) {
  return "SELECT count(*) FROM " + table + " WHERE tag = $1";
}

std::string CountAllSql(const std::string& table) {
  return "SELECT tag, count(*) FROM " + table + " GROUP BY tag";
}

}  // namespace lacewingferry::processes
