#include "lacewingferry/app/control_disk.h"

#include <cstdint>

#include "lacewingferry/adapters/disk/disk_storage.h"
#include "lacewingferry/adapters/msgpack/log_codec.h"

namespace lacewingferry {

ControlDisk OpenControlDisk(const std::string& folder) {
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device()) << 32U;
  return ControlDisk{MakeDiskStorage(folder), MakeLogCodec(),
                     std::mt19937_64(high ^ device())};
}

}  // namespace lacewingferry
