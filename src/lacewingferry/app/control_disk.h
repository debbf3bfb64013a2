#ifndef LACEWINGFERRY_APP_CONTROL_DISK_H_
#define LACEWINGFERRY_APP_CONTROL_DISK_H_

// Defines ControlDisk, what a control process needs to use its data folder, and
// the founding of the control log on it.

#include <random>
#include <string>

#include "lacewingferry/core/settings.h"
#include "lacewingferry/ports/log_codec_port.h"
#include "lacewingferry/ports/storage_port.h"

namespace lacewingferry {

/** An open data folder, its codec, and random numbers that differ between
 * VMs and between starts. */
struct ControlDisk {
  StoragePort storage;
  LogCodecPort codec;
  std::mt19937_64 random;
};

/** Opens and locks a data folder. Throws StorageError. */
ControlDisk OpenControlDisk(const std::string& folder);

/** Founds the control log on a process's empty disk, with its replica as the
 * only voter. Throws UserError for a disk that holds a log. */
void FoundControlLog(const ControlSettings& settings);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_CONTROL_DISK_H_
