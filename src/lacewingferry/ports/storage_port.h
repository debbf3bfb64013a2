#ifndef LACEWINGFERRY_PORTS_STORAGE_PORT_H_
#define LACEWINGFERRY_PORTS_STORAGE_PORT_H_

// Defines the port to the durable files of a control process.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

/** A file that can't be written, synced or trusted. The process that meets it
 * stops. */
class StorageError : public UserError {
 public:
  using UserError::UserError;
};

/** Named files of checksummed records under one data folder. Each call returns
 * once its effect is synced, or throws StorageError. */
struct StoragePort {
  /** Appends records to a file as one write and syncs it. */
  std::function<void(const std::string& name,
                     const std::vector<std::string>& records)>
      append;
  /** Replaces a file's whole content atomically. */
  std::function<void(const std::string& name,
                     const std::vector<std::string>& records)>
      replace;
  /** Reads all records of a file; none for a file that doesn't exist. Cuts a
   * torn tail; throws StorageError for a damaged record before the tail. */
  std::function<std::vector<std::string>(const std::string& name)> read;
  /** Removes a file, if it exists. */
  std::function<void(const std::string& name)> remove;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_STORAGE_PORT_H_
