#ifndef LACEWINGFERRY_ADAPTERS_DISK_DISK_CALLS_H_
#define LACEWINGFERRY_ADAPTERS_DISK_DISK_CALLS_H_

// Defines DiskCalls, the system calls of the disk adapter, which tests
// replace to bring about failures.

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>

namespace lacewingferry {

/** System calls as in POSIX: -1 and errno on failure. */
struct DiskCalls {
  std::function<int(const std::string& path, int flags, mode_t mode)> open;
  std::function<ssize_t(int fd, const void* bytes, std::size_t size)> write;
  std::function<ssize_t(int fd, void* bytes, std::size_t size)> read;
  std::function<int(int fd)> fsync;
  std::function<int(int fd)> fdatasync;
  std::function<int(int fd, off_t size)> ftruncate;
  std::function<int(const std::string& from, const std::string& to)> rename;
  std::function<int(const std::string& path)> unlink;
  /** Locks a file for this open descriptor without waiting. */
  std::function<int(int fd)> lock;
  std::function<int(int fd)> close;
};

/** The calls of this machine. */
DiskCalls MakeSystemDiskCalls();

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_DISK_DISK_CALLS_H_
