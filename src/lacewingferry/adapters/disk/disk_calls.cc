#include "lacewingferry/adapters/disk/disk_calls.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdio>

namespace lacewingferry {

DiskCalls MakeSystemDiskCalls() {
  DiskCalls calls;
  calls.open = [](const std::string& path, int flags, mode_t mode) {
    return ::open(path.c_str(), flags | O_CLOEXEC, mode);
  };
  calls.write = ::write;
  calls.read = ::read;
  calls.fsync = ::fsync;
  calls.fdatasync = ::fdatasync;
  calls.ftruncate = ::ftruncate;
  calls.rename = [](const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str());
  };
  calls.unlink = [](const std::string& path) { return ::unlink(path.c_str()); };
  calls.lock = [](int fd) { return ::flock(fd, LOCK_EX | LOCK_NB); };
  calls.close = ::close;
  return calls;
}

}  // namespace lacewingferry
