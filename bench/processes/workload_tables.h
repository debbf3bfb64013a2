#ifndef BENCH_PROCESSES_WORKLOAD_TABLES_H_
#define BENCH_PROCESSES_WORKLOAD_TABLES_H_

// Defines the tables and statements of the load. No table refuses a second row
// of the same tag, so that a doubled write shows.

#include <string>
#include <vector>

namespace lacewingferry::processes {

extern const char kBookingsTable[];
extern const char kDrawsTable[];
extern const char kNotesTable[];
/** The rows of transactions. */
extern const char kJobsTable[];

/** Parameters: meter, reading. A reading never falls. */
extern const char kReadingSql[];
/** Columns: meter, reading. */
extern const char kAllReadingsSql[];
/** A page of the newest bookings. */
extern const char kPageSql[];

/** The tables that hold tagged rows. */
std::vector<std::string> TaggedTables();

/** The statements that create all tables where they are missing. */
std::vector<std::string> CreateTablesSql();

/** Inserts a row. Parameters: tag, caller. */
std::string InsertSql(const std::string& table);

/** Counts the rows of a tag. Parameter: tag. */
std::string CountSql(const std::string& table);

/** Columns: tag, number of rows. */
std::string CountAllSql(const std::string& table);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_WORKLOAD_TABLES_H_
