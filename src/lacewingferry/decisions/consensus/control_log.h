#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_

// Defines ControlLog, the durable state of a control log replica: term, vote,
// entries and snapshot.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/log_records.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Estimated encoded size of an entry; an upper bound for entries without a
 * configuration. */
std::size_t EstimatedBytes(const ControlEntry& entry);

/**
 * The log on disk, with a copy in memory. Each call that changes the log
 * returns after the change is synced to disk, or throws StorageError; after a
 * StorageError the object must not be used.
 *
 * Entry indexes start at 1. Entries up to BaseIndex() have been discarded.
 */
class ControlLog {
 public:
  /** Loads the log from disk and removes old segments that a crash left
   * behind. Throws StorageError. */
  ControlLog(StoragePort storage_port, LogCodecPort codec_port);

  /** Stores the initial configuration on an empty disk. Throws UserError if
   * the disk already contains a log. */
  void Found(const ControlConfiguration& configuration);

  /** Whether the disk contains no term, entry or configuration. */
  bool Empty() const;

  std::uint64_t Term() const { return this->vote.term; }
  const VoterId& VotedFor() const { return this->vote.voted_for; }

  /** Stores a term and the vote in that term; empty for no vote. */
  void SaveVote(std::uint64_t term, const VoterId& voted_for);

  std::uint64_t BaseIndex() const { return this->snapshot.base_index; }
  std::uint64_t LastIndex() const;
  std::uint64_t LastTerm() const;

  /** The term of the entry at an index that is in the log or equals
   * BaseIndex(); none for any other index. */
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  /** The entry at an index. Throws InternalError if it is not in the log. */
  const ControlEntry& At(std::uint64_t index) const;

  /** The entries from index `first` on that fit into max_bytes, but at least
   * one if there is any. */
  std::vector<ControlEntry> Slice(std::uint64_t first,
                                  std::size_t max_bytes) const;

  /** How many of the entries up to `index` fit into both limits, counted back
   * from it. */
  std::uint64_t CountWithin(std::uint64_t index, std::uint64_t max_entries,
                            std::size_t max_bytes) const;

  /** Appends entries with consecutive indexes. The same write truncates
   * existing entries from the first appended index on. */
  void Append(const std::vector<ControlEntry>& added);

  /** The newest configuration in the log, committed or not. */
  const ControlConfiguration& Configuration() const;
  /** The index of the entry that contains Configuration(). */
  std::uint64_t ConfigurationIndex() const { return this->configuration_index; }

  const SnapshotRecord& Snapshot() const { return this->snapshot; }

  /** Stores a snapshot of the state after the entry at `index`, which must be
   * in the log. Retains the last `retained` entries up to it and discards
   * older ones. */
  void SaveSnapshot(std::uint64_t index, std::string state,
                    std::uint64_t retained);

  /** Stores a snapshot received from the leader. Entries after it are kept
   * if the log contains the snapshot's last entry, and discarded otherwise. */
  void InstallSnapshot(std::uint64_t last_index, std::uint64_t last_term,
                       ControlConfiguration configuration, std::string state);

 private:
  void ReadVote();
  void ReadSnapshot();
  void ReadSegments();
  void RemoveOldSegments();
  /** Adds an entry to the copy in memory; truncates that copy from the
   * entry's index on. */
  void PlaceInMemory(const ControlEntry& entry);
  void FindConfiguration();
  ControlConfiguration ConfigurationAt(std::uint64_t index) const;
  void ReplaceSnapshot(SnapshotRecord next);
  std::vector<std::string> Encode(
      const std::vector<ControlEntry>& encoded_entries) const;

  StoragePort storage;
  LogCodecPort codec;
  VoteRecord vote;
  SnapshotRecord snapshot;
  /** The entries after snapshot.base_index. */
  std::vector<ControlEntry> entries;
  std::uint64_t configuration_index = 0;
  /** The segment that new entries are appended to. */
  std::uint64_t segment = 1;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_
