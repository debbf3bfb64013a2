#ifndef STANDIN_RECORD_FILE_H_
#define STANDIN_RECORD_FILE_H_

// Defines RecordFile, an append-only file of checksummed records.

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingferry::standin {

/** Records on disk. Each call returns once its effect is synced; a file that
 * can't be written throws UserError, after which it must not be used. */
class RecordFile {
 public:
  /** Opens or makes a file, locks it against other processes and reads its
   * records. A torn or damaged tail is cut off. An empty path keeps nothing.
   * Throws UserError. */
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  /** Takes the records that were read at the start. */
  std::vector<std::string> TakeRecords();

  /** The bytes cut off at the start. */
  std::uint64_t CutBytes() const { return this->cut_bytes; }

  /** Appends records as one write. */
  void Append(const std::vector<std::string>& records);

  /** Keeps only the first records. */
  void Truncate(std::size_t record_count);

 private:
  void Load();
  void Cut(std::uint64_t size);
  [[noreturn]] void Fail(const char* action) const;

  std::string path;
  int descriptor = -1;
  std::vector<std::string> loaded;
  /** The offset of each record's end, in bytes. */
  std::vector<std::uint64_t> ends;
  std::uint64_t cut_bytes = 0;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_RECORD_FILE_H_
