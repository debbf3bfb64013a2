#include "lacewingferry/app/control_disk.h"

#include <cstdint>

#include "lacewingferry/adapters/disk/disk_storage.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"
#include "lacewingferry/decisions/consensus/found_control_log.h"

namespace lacewingferry {

ControlDisk OpenControlDisk(const std::string& folder) {
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device()) << 32U;
  return ControlDisk{MakeDiskStorage(folder), MakeLogCodec(),
                     std::mt19937_64(high ^ device())};
}

void FoundControlLog(const ControlSettings& settings) {
  ControlDisk disk = OpenControlDisk(settings.data_folder);
  FoundControlLog(disk.storage, disk.codec, settings.node, disk.random);
}

}  // namespace lacewingferry
