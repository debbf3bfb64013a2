#include "standin/record_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <string_view>
#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::standin {
namespace {

/** Before each record stand its length and its checksum. */
struct RecordHeader {
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;
};

constexpr int kFileMode = 0644;

std::uint32_t Checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string Encode(const std::string& record) {
  const RecordHeader header{static_cast<std::uint32_t>(record.size()),
                            Checksum(record)};
  std::string bytes(sizeof(header), '\0');
  std::memcpy(bytes.data(), &header, sizeof(header));
  return bytes + record;
}

/** Syncs a folder, so that a file made in it is found after a crash. */
void SyncFolder(const std::filesystem::path& folder) {
  const int descriptor =
      open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return;
  fsync(descriptor);
  close(descriptor);
}

}  // namespace

RecordFile::RecordFile(const std::string& file_path) : path(file_path) {
  if (this->path.empty()) return;
  this->descriptor =
      open(this->path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (this->descriptor < 0) this->Fail("open");
  if (flock(this->descriptor, LOCK_EX | LOCK_NB) != 0) this->Fail("lock");
  const auto folder = std::filesystem::path(this->path).parent_path();
  SyncFolder(folder.empty() ? "." : folder);
  this->Load();
}

RecordFile::~RecordFile() {
  if (this->descriptor >= 0) close(this->descriptor);
}

std::vector<std::string> RecordFile::TakeRecords() {
  return std::exchange(this->loaded, {});
}

void RecordFile::Load() {
  struct stat status {};
  if (fstat(this->descriptor, &status) != 0) this->Fail("read");
  std::string content(static_cast<std::size_t>(status.st_size), '\0');
  std::size_t filled = 0;
  while (filled < content.size()) {
    const ssize_t got =
        pread(this->descriptor, content.data() + filled,
              content.size() - filled, static_cast<off_t>(filled));
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) this->Fail("read");
    filled += static_cast<std::size_t>(got);
  }
  std::string_view rest = content;
  while (rest.size() >= sizeof(RecordHeader)) {
    RecordHeader header;
    std::memcpy(&header, rest.data(), sizeof(header));
    if (header.length > rest.size() - sizeof(header)) break;
    const std::string_view record = rest.substr(sizeof(header), header.length);
    if (Checksum(record) != header.checksum) break;
    this->loaded.emplace_back(record);
    rest.remove_prefix(sizeof(header) + header.length);
    this->ends.push_back(content.size() - rest.size());
  }
  this->cut_bytes = rest.size();
  if (!rest.empty()) this->Cut(content.size() - rest.size());
}

void RecordFile::Append(const std::vector<std::string>& records) {
  if (this->descriptor < 0) return;
  std::uint64_t end = this->ends.empty() ? 0 : this->ends.back();
  const std::uint64_t start = end;
  std::string bytes;
  for (const std::string& record : records) {
    bytes += Encode(record);
    this->ends.push_back(start + bytes.size());
  }
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const ssize_t put = pwrite(this->descriptor, rest.data(), rest.size(),
                               static_cast<off_t>(end));
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) this->Fail("write");
    end += static_cast<std::uint64_t>(put);
    rest.remove_prefix(static_cast<std::size_t>(put));
  }
  if (fdatasync(this->descriptor) != 0) this->Fail("sync");
}

void RecordFile::Truncate(std::size_t record_count) {
  if (this->descriptor < 0 || record_count >= this->ends.size()) return;
  this->ends.resize(record_count);
  this->Cut(this->ends.empty() ? 0 : this->ends.back());
}

void RecordFile::Cut(std::uint64_t size) {
  if (ftruncate(this->descriptor, static_cast<off_t>(size)) != 0) {
    this->Fail("truncate");
  }
  if (fdatasync(this->descriptor) != 0) this->Fail("sync");
}

void RecordFile::Fail(const char* action) const {
  throw UserError("can't " + std::string(action) + " " + this->path + ": " +
                  std::strerror(errno));
}

}  // namespace lacewingferry::standin
