#ifndef BENCH_MODEL_MEMORY_DISK_H_
#define BENCH_MODEL_MEMORY_DISK_H_

// Defines MemoryDisk, a storage port in memory that can crash in any write.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry::model {

/** Thrown out of a write in which the process crashes. */
struct DiskCrash {};

/** What survives a crash: synced records, and of the write in which it
 * happened any number of an append's records, and the old or the new content
 * of a replaced file. */
class MemoryDisk {
 public:
  explicit MemoryDisk(std::uint64_t seed) : random(seed) {}

  /** A port that refers to this object. */
  StoragePort Port();

  /** Lets the process crash in a later write: 1 means the next one. */
  void CrashInWrite(std::uint64_t write) { this->crash_in = write; }

  /** Undoes CrashInWrite. */
  void CancelCrash() { this->crash_in.reset(); }

  /** From now on each write throws StorageError. */
  void FailWrites() { this->failing = true; }

  /** The size of all records on the disk. */
  std::size_t Bytes() const;

  /** A new, empty disk; one file may stay. */
  void Wipe(const std::string& kept_file = {});

 private:
  bool CrashesNow();
  void Append(const std::string& name, const std::vector<std::string>& records);
  void Replace(const std::string& name,
               const std::vector<std::string>& records);
  void Remove(const std::string& name);

  std::map<std::string, std::vector<std::string>> files;
  std::mt19937_64 random;
  std::optional<std::uint64_t> crash_in;
  bool failing = false;
};

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_MEMORY_DISK_H_
