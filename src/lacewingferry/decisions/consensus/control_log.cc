#include "lacewingferry/decisions/consensus/control_log.h"

#include <algorithm>
#include <utility>
#include <variant>

// Files on disk:
//
//   vote        one VoteRecord, replaced as a whole
//   snapshot    one SnapshotRecord, replaced as a whole
//   log-N       segments of ControlEntry records, append-only
//
// When a segment is read, a record whose index is not above the last entry's
// replaces the entry at that index and truncates the log after it. A follower
// can thus overwrite a conflicting tail by appending. A crash during that
// append can lose only entries that conflict with the leader's log and so were
// never committed.
//
// A snapshot is stored in three steps:
//   1. The retained entries are written to a new segment.
//   2. The snapshot file is replaced; it names the new segment as its first.
//   3. The old segments are removed.
// After a crash between steps 1 and 2, the old snapshot is read with the old
// segments and the new one, which only repeats some of their entries. After a
// crash between steps 2 and 3, the next start removes the old segments.
// Segments are read in ascending order until one is empty or missing. Every
// snapshot starts a new segment, so a segment's size is bounded by the entries
// between two snapshots.

namespace lacewingferry {
namespace {

constexpr char kVoteFile[] = "vote";
constexpr char kSnapshotFile[] = "snapshot";

std::string SegmentName(std::uint64_t segment) {
  return "log-" + std::to_string(segment);
}

template <typename Record>
Record DecodeAs(const LogCodecPort& codec, const std::string& file,
                const std::string& bytes) {
  try {
    return std::get<Record>(codec.decode(bytes));
  } catch (const DecodeError& error) {
    throw StorageError(file + ": " + error.what());
  } catch (const std::bad_variant_access&) {
    throw StorageError(file + ": contains a record of another type");
  }
}

/** Estimated encoded size of an entry besides its payload. */
constexpr std::size_t kEntryOverheadBytes = 32;

}  // namespace

std::size_t EstimatedBytes(const ControlEntry& entry) {
  return entry.payload.size() + kEntryOverheadBytes;
}

ControlLog::ControlLog(StoragePort storage_port, LogCodecPort codec_port)
    : storage(std::move(storage_port)), codec(std::move(codec_port)) {
  this->ReadVote();
  this->ReadSnapshot();
  this->ReadSegments();
  this->RemoveOldSegments();
  this->FindConfiguration();
}

void ControlLog::ReadVote() {
  const auto records = this->storage.read(kVoteFile);
  if (records.empty()) return;
  this->vote = DecodeAs<VoteRecord>(this->codec, kVoteFile, records.front());
}

void ControlLog::ReadSnapshot() {
  const auto records = this->storage.read(kSnapshotFile);
  if (records.empty()) return;
  this->snapshot =
      DecodeAs<SnapshotRecord>(this->codec, kSnapshotFile, records.front());
}

void ControlLog::ReadSegments() {
  this->segment = this->snapshot.first_segment;
  for (std::uint64_t next = this->segment;; ++next) {
    const std::string name = SegmentName(next);
    const auto records = this->storage.read(name);
    if (records.empty()) return;
    this->segment = next;
    for (const std::string& bytes : records) {
      this->PlaceInMemory(DecodeAs<ControlEntry>(this->codec, name, bytes));
    }
  }
}

void ControlLog::RemoveOldSegments() {
  for (std::uint64_t old = this->snapshot.previous_segment;
       old < this->snapshot.first_segment; ++old) {
    this->storage.remove(SegmentName(old));
  }
}

void ControlLog::PlaceInMemory(const ControlEntry& entry) {
  if (entry.index <= this->BaseIndex()) return;
  if (entry.index > this->LastIndex() + 1) {
    throw StorageError(SegmentName(this->segment) + ": gap in the log: entry " +
                       std::to_string(entry.index) + " follows entry " +
                       std::to_string(this->LastIndex()));
  }
  this->entries.resize(entry.index - this->BaseIndex() - 1);
  this->entries.push_back(entry);
  if (entry.kind == EntryKind::kConfiguration) {
    this->configuration_index = entry.index;
  }
}

void ControlLog::Found(const ControlConfiguration& configuration) {
  if (!this->Empty()) {
    throw UserError("control log: the data folder already contains a log");
  }
  SnapshotRecord first;
  first.configuration = configuration;
  this->ReplaceSnapshot(std::move(first));
}

bool ControlLog::Empty() const {
  return this->vote.term == 0 && this->LastIndex() == 0 &&
         this->snapshot.configuration.members.empty();
}

void ControlLog::SaveVote(std::uint64_t term, const VoterId& voted_for) {
  VoteRecord next{term, voted_for};
  this->storage.replace(kVoteFile, {this->codec.encode(next)});
  this->vote = std::move(next);
}

std::uint64_t ControlLog::LastIndex() const {
  return this->BaseIndex() + this->entries.size();
}

std::uint64_t ControlLog::LastTerm() const {
  return this->entries.empty() ? this->snapshot.base_term
                               : this->entries.back().term;
}

std::optional<std::uint64_t> ControlLog::TermAt(std::uint64_t index) const {
  if (index == this->BaseIndex()) return this->snapshot.base_term;
  if (index < this->BaseIndex() || index > this->LastIndex()) {
    return std::nullopt;
  }
  return this->At(index).term;
}

const ControlEntry& ControlLog::At(std::uint64_t index) const {
  if (index <= this->BaseIndex() || index > this->LastIndex()) {
    throw InternalError("control log: entry " + std::to_string(index) +
                        " is not in the log");
  }
  return this->entries[index - this->BaseIndex() - 1];
}

std::vector<ControlEntry> ControlLog::Slice(std::uint64_t first,
                                            std::size_t max_bytes) const {
  std::vector<ControlEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= this->LastIndex(); ++index) {
    const ControlEntry& entry = this->At(index);
    bytes += EstimatedBytes(entry);
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

std::uint64_t ControlLog::CountWithin(std::uint64_t index,
                                      std::uint64_t max_entries,
                                      std::size_t max_bytes) const {
  std::uint64_t count = 0;
  std::size_t bytes = 0;
  while (count < max_entries && index - count > this->BaseIndex()) {
    bytes += EstimatedBytes(this->At(index - count));
    if (bytes > max_bytes) break;
    ++count;
  }
  return count;
}

void ControlLog::Append(const std::vector<ControlEntry>& added) {
  if (added.empty()) return;
  this->storage.append(SegmentName(this->segment), this->Encode(added));
  const bool rewrites = added.front().index <= this->configuration_index;
  for (const ControlEntry& entry : added) this->PlaceInMemory(entry);
  if (rewrites) this->FindConfiguration();
}

std::vector<std::string> ControlLog::Encode(
    const std::vector<ControlEntry>& encoded_entries) const {
  std::vector<std::string> records;
  records.reserve(encoded_entries.size());
  for (const ControlEntry& entry : encoded_entries) {
    records.push_back(this->codec.encode(entry));
  }
  return records;
}

void ControlLog::FindConfiguration() {
  for (std::uint64_t i = this->LastIndex(); i > this->BaseIndex(); --i) {
    if (this->At(i).kind == EntryKind::kConfiguration) {
      this->configuration_index = i;
      return;
    }
  }
  this->configuration_index = this->snapshot.last_index;
}

const ControlConfiguration& ControlLog::Configuration() const {
  const bool kept =
      this->configuration_index > this->BaseIndex() &&
      this->configuration_index <= this->LastIndex() &&
      this->At(this->configuration_index).kind == EntryKind::kConfiguration;
  return kept ? this->At(this->configuration_index).configuration
              : this->snapshot.configuration;
}

ControlConfiguration ControlLog::ConfigurationAt(std::uint64_t index) const {
  for (std::uint64_t i = index; i > this->BaseIndex(); --i) {
    const ControlEntry& entry = this->At(i);
    if (entry.kind == EntryKind::kConfiguration) return entry.configuration;
  }
  return this->snapshot.configuration;
}

void ControlLog::SaveSnapshot(std::uint64_t index, std::string state,
                              std::uint64_t retained) {
  SnapshotRecord next;
  next.last_index = index;
  next.last_term = this->At(index).term;
  next.configuration = this->ConfigurationAt(index);
  next.state = std::move(state);
  next.base_index =
      std::max(this->BaseIndex(), index > retained ? index - retained : 0);
  next.base_term = *this->TermAt(next.base_index);
  this->ReplaceSnapshot(std::move(next));
}

void ControlLog::InstallSnapshot(std::uint64_t last_index,
                                 std::uint64_t last_term,
                                 ControlConfiguration configuration,
                                 std::string state) {
  const bool continues = this->TermAt(last_index) == last_term;
  if (!continues) this->entries.clear();
  SnapshotRecord next;
  next.last_index = next.base_index = last_index;
  next.last_term = next.base_term = last_term;
  next.configuration = std::move(configuration);
  next.state = std::move(state);
  this->ReplaceSnapshot(std::move(next));
}

void ControlLog::ReplaceSnapshot(SnapshotRecord next) {
  const std::uint64_t dropped = std::min<std::uint64_t>(
      next.base_index - this->BaseIndex(), this->entries.size());
  std::vector<ControlEntry> kept(this->entries.begin() + dropped,
                                 this->entries.end());
  const std::uint64_t next_segment = this->segment + 1;
  this->storage.replace(SegmentName(next_segment), this->Encode(kept));
  next.first_segment = next_segment;
  next.previous_segment = this->snapshot.first_segment;
  this->storage.replace(kSnapshotFile, {this->codec.encode(next)});
  this->snapshot = std::move(next);
  this->entries = std::move(kept);
  this->segment = next_segment;
  this->RemoveOldSegments();
  this->FindConfiguration();
}

}  // namespace lacewingferry
