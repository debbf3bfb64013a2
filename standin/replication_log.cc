#include "standin/replication_log.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry::standin {

ReplicationLog::ReplicationLog(const std::string& path) : file(path) {
  for (const std::string& record : this->file.TakeRecords()) {
    this->Remember(
        detail::DecodeFields<LogEntry>(record.data(), record.size()));
  }
}

void ReplicationLog::Remember(LogEntry entry) {
  if (entry.position.offset != this->End().offset + 1 ||
      entry.position.term < this->End().term) {
    throw InternalError("a log entry is out of order");
  }
  if (this->terms.empty() || this->terms.back().term != entry.position.term) {
    this->terms.push_back(entry.position);
  }
  this->terms.back() = entry.position;
  this->entries.push_back(std::move(entry));
}

void ReplicationLog::Append(const std::vector<LogEntry>& added) {
  std::vector<std::string> records;
  for (const LogEntry& entry : added) {
    this->Remember(entry);
    records.push_back(detail::EncodeFields(entry));
  }
  this->file.Append(records);
}

void ReplicationLog::Truncate(std::uint64_t offset) {
  if (offset >= this->entries.size()) return;
  this->entries.resize(offset);
  this->file.Truncate(offset);
  while (!this->terms.empty() &&
         (this->terms.size() == 1
              ? offset == 0
              : this->terms[this->terms.size() - 2].offset >= offset)) {
    this->terms.pop_back();
  }
  if (!this->terms.empty()) this->terms.back().offset = offset;
}

LogPosition ReplicationLog::End() const {
  return this->entries.empty() ? LogPosition{} : this->entries.back().position;
}

const LogEntry& ReplicationLog::At(std::uint64_t offset) const {
  return this->entries.at(offset - 1);
}

std::uint64_t ReplicationLog::CommonOffset(
    const std::vector<LogPosition>& others) const {
  for (auto other = others.rbegin(); other != others.rend(); ++other) {
    for (const LogPosition& mine : this->terms) {
      if (mine.term == other->term) return std::min(mine.offset, other->offset);
    }
  }
  return 0;
}

}  // namespace lacewingferry::standin
