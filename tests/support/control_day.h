#ifndef TESTS_SUPPORT_CONTROL_DAY_H_
#define TESTS_SUPPORT_CONTROL_DAY_H_

// Defines RunControlDay, a day of control VMs in virtual time with as many
// losses at once as a deployment tolerates.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingferry::tests {

/** A deployment's control VMs. */
struct ControlDayOptions {
  std::size_t vms = 6;
  /** How many VMs may be lost at the same time. */
  std::size_t tolerated_losses = 2;
  /** For this long after a VM is back, it still counts as lost. */
  std::chrono::milliseconds catch_up{6000};
  /** Control has to serve this long after a final fault. */
  std::chrono::milliseconds recovery{15'000};
  /** One way between two VMs. */
  std::chrono::milliseconds latency{20};
  /** After an outage of a VM, messages of another one may be lost this long. */
  std::chrono::milliseconds reconnect{1500};
  std::uint64_t seed = 1;
};

/** What came of a day. */
struct ControlDayResult {
  /** What went wrong, with the events that led there; empty if nothing did. */
  std::string failure;
  std::size_t disks_lost = 0;
  std::size_t vms_replaced = 0;
  std::size_t seeds_exchanged = 0;
};

/**
 * Plays 40 s with VMs that lose their disk or their power, are cut off, or are
 * replaced by empty ones at another address, with seeds that are exchanged for
 * other VMs, and with splits and kills of all processes. Then as many disks are
 * lost at once as the deployment tolerates, and all VMs lose power.
 */
ControlDayResult RunControlDay(const ControlDayOptions& options);

}  // namespace lacewingferry::tests

#endif  // TESTS_SUPPORT_CONTROL_DAY_H_
