#include "lacewingferry/adapters/disk/disk_storage.h"

#include <fcntl.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <memory>
#include <utility>

#include "lacewingferry/adapters/disk/record_frame.h"

namespace lacewingferry {
namespace {

constexpr char kLockFile[] = "lock";
constexpr char kTemporarySuffix[] = ".tmp";
constexpr char kAppendedSuffix[] = ".appended";
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBytes = 65'536;

[[noreturn]] void ThrowErrno(const std::string& path, const char* action) {
  throw StorageError(path + ": can't " + action + ": " + std::strerror(errno));
}

/** An open file, closed with the object. */
class OpenFile {
 public:
  OpenFile(const DiskCalls& disk_calls, std::string file_path, int flags)
      : calls(disk_calls), path(std::move(file_path)) {
    this->fd = this->calls.open(this->path, flags, kFileMode);
    if (this->fd < 0) ThrowErrno(this->path, "open");
  }
  ~OpenFile() { this->calls.close(this->fd); }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;

  void Lock() const {
    if (this->calls.lock(this->fd) == 0) return;
    ThrowErrno(this->path, "lock; another process may use the folder");
  }

  void Sync() const {
    if (this->calls.fsync(this->fd) != 0) ThrowErrno(this->path, "sync");
  }

  void SyncData() const {
    if (this->calls.fdatasync(this->fd) != 0) ThrowErrno(this->path, "sync");
  }

  void Truncate(std::uint64_t size) const {
    if (this->calls.ftruncate(this->fd, static_cast<off_t>(size)) != 0) {
      ThrowErrno(this->path, "cut the torn tail");
    }
  }

  /** Writes all bytes in one call, but for interruptions by signals. A short
   * write means a full disk; the tail that it leaves is cut at the next
   * start. */
  void Write(const std::string& bytes) const {
    ssize_t written = -1;
    do {
      written = this->calls.write(this->fd, bytes.data(), bytes.size());
    } while (written < 0 && errno == EINTR);
    if (written < 0) ThrowErrno(this->path, "write");
    if (static_cast<std::size_t>(written) == bytes.size()) return;
    throw StorageError(this->path + ": wrote " + std::to_string(written) +
                       " of " + std::to_string(bytes.size()) + " bytes");
  }

  std::string ReadAll() const {
    std::string bytes;
    std::string part(kReadBytes, '\0');
    for (;;) {
      const ssize_t size = this->calls.read(this->fd, part.data(), part.size());
      if (size < 0 && errno == EINTR) continue;
      if (size < 0) ThrowErrno(this->path, "read");
      if (size == 0) return bytes;
      bytes.append(part, 0, static_cast<std::size_t>(size));
    }
  }

 private:
  const DiskCalls& calls;
  std::string path;
  int fd = -1;
};

/**
 * The folder's lock and its files that are open for appending.
 *
 * A file that was replaced has its plain name, and its first frame was synced
 * before the file got it: if that frame is bad, the disk is damaged. A file
 * that began with an append has a suffix, and its first frame may be torn. If
 * both are there, a crash left the one with the suffix behind.
 */
class Folder {
 public:
  Folder(std::string folder_path, DiskCalls disk_calls)
      : path(std::move(folder_path)),
        calls(std::move(disk_calls)),
        lock(this->calls, this->PathOf(kLockFile), O_RDWR | O_CREAT) {
    this->lock.Lock();
    // A process that was killed may have renamed files without syncing that.
    this->SyncFolder();
  }

  void Append(const std::string& name,
              const std::vector<std::string>& records) {
    this->Guard([&] {
      Appended& file = this->FileFor(name);
      const std::string frame = EncodeFrame(file.size, records);
      file.open->Write(frame);
      file.open->SyncData();
      file.size += frame.size();
    });
  }

  void Replace(const std::string& name,
               const std::vector<std::string>& records) {
    this->Guard([&] {
      const std::string target = this->PathOf(name);
      const std::string temporary = target + kTemporarySuffix;
      this->appended.erase(name);
      {
        const OpenFile file(this->calls, temporary,
                            O_WRONLY | O_CREAT | O_TRUNC);
        file.Write(EncodeFrame(0, records));
        file.Sync();
      }
      if (this->calls.rename(temporary, target) != 0) {
        ThrowErrno(target, "replace");
      }
      this->Unlink(target + kAppendedSuffix);
      this->SyncFolder();
    });
  }

  std::vector<std::string> Read(const std::string& name) {
    return this->ReadAndCut(name).records;
  }

  void Remove(const std::string& name) {
    this->Guard([&] {
      this->appended.erase(name);
      this->Unlink(this->PathOf(name));
      this->Unlink(this->PathOf(name) + kAppendedSuffix);
      this->SyncFolder();
    });
  }

 private:
  struct Appended {
    std::unique_ptr<OpenFile> open;
    std::uint64_t size = 0;
  };

  std::string PathOf(const std::string& name) const {
    return this->path + "/" + name;
  }

  /** Runs a write; after one that failed there is never another. */
  template <typename Action>
  void Guard(Action action) {
    if (!this->failure.empty()) {
      throw StorageError("nothing is written after: " + this->failure);
    }
    try {
      action();
    } catch (const StorageError& error) {
      this->failure = error.what();
      throw;
    }
  }

  bool Exists(const std::string& target) const {
    const int probe = this->calls.open(target, O_RDONLY, kFileMode);
    if (probe < 0 && errno == ENOENT) return false;
    if (probe < 0) ThrowErrno(target, "open");
    this->calls.close(probe);
    return true;
  }

  void Unlink(const std::string& target) const {
    if (this->calls.unlink(target) == 0 || errno == ENOENT) return;
    ThrowErrno(target, "remove");
  }

  FrameContent ReadAndCut(const std::string& name) {
    const std::string plain = this->PathOf(name);
    const bool replaced = this->Exists(plain);
    const std::string target = replaced ? plain : plain + kAppendedSuffix;
    if (!replaced && !this->Exists(target)) return {};
    const OpenFile file(this->calls, target, O_RDWR);
    const std::string bytes = file.ReadAll();
    FrameContent content = DecodeFrames(bytes);
    if (content.damaged || (replaced && content.whole_size == 0)) {
      throw StorageError(target + ": damaged record at offset " +
                         std::to_string(content.whole_size));
    }
    this->Guard([&] {
      if (content.whole_size < bytes.size()) file.Truncate(content.whole_size);
      // A process that was killed may have written this without syncing it.
      file.Sync();
    });
    return content;
  }

  Appended& FileFor(const std::string& name) {
    Appended& file = this->appended[name];
    if (file.open) return file;
    file.size = this->ReadAndCut(name).whole_size;
    const std::string plain = this->PathOf(name);
    const bool replaced = this->Exists(plain);
    file.open = std::make_unique<OpenFile>(
        this->calls, replaced ? plain : plain + kAppendedSuffix,
        O_WRONLY | O_CREAT | O_APPEND);
    // The file's entry in the folder must last as long as its records.
    this->SyncFolder();
    return file;
  }

  void SyncFolder() const {
    OpenFile(this->calls, this->path, O_RDONLY | O_DIRECTORY).Sync();
  }

  std::string path;
  DiskCalls calls;
  OpenFile lock;
  std::map<std::string, Appended> appended;
  std::string failure;
};

}  // namespace

StoragePort MakeDiskStorage(const std::string& folder, DiskCalls calls) {
  const auto shared = std::make_shared<Folder>(folder, std::move(calls));
  StoragePort port;
  port.append = [shared](const std::string& name, const auto& records) {
    shared->Append(name, records);
  };
  port.replace = [shared](const std::string& name, const auto& records) {
    shared->Replace(name, records);
  };
  port.read = [shared](const std::string& name) { return shared->Read(name); };
  port.remove = [shared](const std::string& name) { shared->Remove(name); };
  return port;
}

}  // namespace lacewingferry
