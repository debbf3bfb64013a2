#ifndef STANDIN_REPLICATION_LOG_H_
#define STANDIN_REPLICATION_LOG_H_

// Defines ReplicationLog, a member's durable history of transactions.

#include <cstdint>
#include <string>
#include <vector>

#include "standin/log_entry.h"
#include "standin/record_file.h"

namespace lacewingferry::standin {

/** The entries with offsets from 1 upwards. Two logs that hold the same entry
 * at an offset hold the same entries before it, since each term has one
 * primary. */
class ReplicationLog {
 public:
  /** Reads the log of a file; an empty path keeps it in memory only. Throws
   * UserError. */
  explicit ReplicationLog(const std::string& path);

  /** Appends entries and syncs them. Throws UserError, after which the process
   * has to end, and InternalError for a gap. */
  void Append(const std::vector<LogEntry>& added);

  /** Drops the entries above an offset. */
  void Truncate(std::uint64_t offset);

  /** The position of the last entry; zero for an empty log. */
  LogPosition End() const;

  /** The entry at an offset from 1 to the end's. */
  const LogEntry& At(std::uint64_t offset) const;

  /** The last position of each term that wrote entries, in order. */
  const std::vector<LogPosition>& Terms() const { return this->terms; }

  /** The highest offset up to which this log and another one are equal, by
   * the other's Terms(). */
  std::uint64_t CommonOffset(const std::vector<LogPosition>& others) const;

  /** The bytes of a torn tail that were cut at the start. */
  std::uint64_t CutBytes() const { return this->file.CutBytes(); }

 private:
  void Remember(LogEntry entry);

  RecordFile file;
  std::vector<LogEntry> entries;
  std::vector<LogPosition> terms;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_REPLICATION_LOG_H_
