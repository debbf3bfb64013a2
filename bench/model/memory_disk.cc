#include "bench/model/memory_disk.h"

namespace lacewingferry::model {

StoragePort MemoryDisk::Port() {
  StoragePort port;
  port.append = [this](const std::string& name, const auto& records) {
    this->Append(name, records);
  };
  port.replace = [this](const std::string& name, const auto& records) {
    this->Replace(name, records);
  };
  port.read = [this](const std::string& name) {
    const auto found = this->files.find(name);
    return found == this->files.end() ? std::vector<std::string>()
                                      : found->second;
  };
  port.remove = [this](const std::string& name) { this->Remove(name); };
  return port;
}

void MemoryDisk::Wipe(const std::string& kept_file) {
  std::map<std::string, std::vector<std::string>> kept;
  const auto found = this->files.find(kept_file);
  if (found != this->files.end()) kept.insert(*found);
  this->files = std::move(kept);
}

std::size_t MemoryDisk::Bytes() const {
  std::size_t bytes = 0;
  for (const auto& file : this->files) {
    for (const std::string& record : file.second) bytes += record.size();
  }
  return bytes;
}

bool MemoryDisk::CrashesNow() {
  if (this->failing) throw StorageError("disk: no space left");
  if (!this->crash_in || --*this->crash_in > 0) return false;
  this->crash_in.reset();
  return true;
}

void MemoryDisk::Append(const std::string& name,
                        const std::vector<std::string>& records) {
  const bool crash = this->CrashesNow();
  std::uniform_int_distribution<std::size_t> part(0, records.size());
  const std::size_t written = crash ? part(this->random) : records.size();
  auto& file = this->files[name];
  file.insert(file.end(), records.begin(), records.begin() + written);
  if (crash) throw DiskCrash();
}

void MemoryDisk::Replace(const std::string& name,
                         const std::vector<std::string>& records) {
  const bool crash = this->CrashesNow();
  const bool done = !crash || this->random() % 2 == 0;
  if (done) this->files[name] = records;
  if (crash) throw DiskCrash();
}

void MemoryDisk::Remove(const std::string& name) {
  const bool crash = this->CrashesNow();
  const bool done = !crash || this->random() % 2 == 0;
  if (done) this->files.erase(name);
  if (crash) throw DiskCrash();
}

}  // namespace lacewingferry::model
