#include "lacewingferry/app/hybrid_wall_clock.h"

#include <memory>
#include <mutex>
#include <utility>

#include "lacewingferry/decisions/timeline/hybrid_clock.h"

namespace lacewingferry {
namespace {

/** A hybrid clock for several threads. */
class SharedHybridClock {
 public:
  explicit SharedHybridClock(ClockPort port) : clock(std::move(port)) {}

  HybridTime Tick() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->hybrid.Tick(this->clock.wall_now());
  }

  void Receive(HybridTime remote) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->hybrid.Receive(remote, this->clock.wall_now());
  }

 private:
  ClockPort clock;
  std::mutex mutex;
  HybridClock hybrid;
};

}  // namespace

HybridWallClock MakeHybridWallClock(ClockPort clock) {
  const auto shared = std::make_shared<SharedHybridClock>(clock);
  HybridWallClock result;
  result.clock.now = clock.now;
  result.clock.wall_now = [shared] { return shared->Tick(); };
  result.time_to_send = [shared] { return shared->Tick(); };
  result.receive = [shared](HybridTime remote) { shared->Receive(remote); };
  return result;
}

}  // namespace lacewingferry
