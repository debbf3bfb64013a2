#ifndef LACEWINGFERRY_ADAPTERS_DISK_DISK_STORAGE_H_
#define LACEWINGFERRY_ADAPTERS_DISK_DISK_STORAGE_H_

// Defines the storage port over a folder of this machine.

#include <string>

#include "lacewingferry/adapters/disk/disk_calls.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** Opens a folder, which must exist, and locks it until the last copy of the
 * port goes. Throws StorageError when the folder can't be opened or another
 * process has it.
 *
 * After a failed write or sync nothing is written to the folder any more, and
 * each further write throws: what the failed call left behind isn't known.
 * The port is for one thread. */
StoragePort MakeDiskStorage(const std::string& folder,
                            DiskCalls calls = MakeSystemDiskCalls());

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_DISK_DISK_STORAGE_H_
