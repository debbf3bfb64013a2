#ifndef LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_
#define LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_

// Defines ControlLog, the durable part of a replica of the control log: term,
// vote, entries and snapshot.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/messages/log_records.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/**
 * The log as it stands on the disk, with a copy in memory. Each call that
 * changes it returns once the change is synced, or throws StorageError; the
 * object must not be used after that.
 *
 * Entries count from 1. Those up to BaseIndex() are no longer kept.
 */
class ControlLog {
 public:
  /** Reads the newest state from the disk and removes segments that a crash
   * left behind. Throws StorageError. */
  ControlLog(StoragePort storage_port, LogCodecPort codec_port);

  /** Gives an empty disk its first configuration. Throws UserError for a disk
   * that holds a log already. */
  void Found(const ControlConfiguration& configuration);

  /** Whether the disk has never held a term, an entry or a configuration. */
  bool Empty() const;

  std::uint64_t Term() const { return this->vote.term; }
  const VoterId& VotedFor() const { return this->vote.voted_for; }

  /** Stores a term and the vote in it; an empty vote means none. */
  void SaveVote(std::uint64_t term, const VoterId& voted_for);

  std::uint64_t BaseIndex() const { return this->snapshot.base_index; }
  std::uint64_t LastIndex() const;
  std::uint64_t LastTerm() const;

  /** The term of an entry that is kept, or of the one before those; none for
   * another index. */
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  /** An entry that is kept. Throws InternalError for another index. */
  const ControlEntry& At(std::uint64_t index) const;

  /** Entries from an index on, as many as fit into max_bytes, but at least
   * one if there is one. */
  std::vector<ControlEntry> Slice(std::uint64_t first,
                                  std::size_t max_bytes) const;

  /** Appends entries with ascending indexes. Entries at and after the index
   * of the first one are dropped, in the same write. */
  void Append(const std::vector<ControlEntry>& added);

  /** The newest configuration in the log, committed or not. */
  const ControlConfiguration& Configuration() const;
  /** The index of the entry that holds Configuration(). */
  std::uint64_t ConfigurationIndex() const { return this->configuration_index; }

  const SnapshotRecord& Snapshot() const { return this->snapshot; }

  /** Stores the state after a kept entry and drops entries older than the
   * last `retained` ones before it. */
  void SaveSnapshot(std::uint64_t index, std::string state,
                    std::uint64_t retained);

  /** Stores a snapshot received from the leader. Entries after it are kept
   * when the log holds the snapshot's last entry, and dropped otherwise. */
  void InstallSnapshot(std::uint64_t last_index, std::uint64_t last_term,
                       ControlConfiguration configuration, std::string state);

 private:
  void ReadVote();
  void ReadSnapshot();
  void ReadSegments();
  void RemoveOldSegments();
  /** Puts an entry into memory; drops those at and after its index. */
  void Place(const ControlEntry& entry);
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
  /** The segment that takes new entries. */
  std::uint64_t segment = 1;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONSENSUS_CONTROL_LOG_H_
