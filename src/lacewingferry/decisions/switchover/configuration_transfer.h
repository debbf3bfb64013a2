#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_CONFIGURATION_TRANSFER_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_CONFIGURATION_TRANSFER_H_

// Defines ConfigurationTransfer, which decides when a proxy is sent a
// configuration.

#include <chrono>
#include <cstdint>

#include "lacewingferry/core/service_configuration.h"

namespace lacewingferry {

/** How long a configuration may be on its way over a proxy's link. */
std::chrono::milliseconds TransferTime(
    const ServiceConfiguration& configuration);

/**
 * The configuration that one proxy has and the one on its way to it. Only one
 * is on its way at a time: a second copy, or a newer version, would wait behind
 * it on the same connection and delay everything else.
 */
class ConfigurationTransfer {
 public:
  /** Takes the version that the proxy says it has. */
  void OnReported(std::uint64_t version) { this->held = version; }

  /** Notes that a version was sent, which may take up to a time. */
  void OnSent(std::chrono::steady_clock::time_point now, std::uint64_t version,
              std::chrono::milliseconds transfer_time);

  /** Whether a version should be sent now. */
  bool IsDue(std::chrono::steady_clock::time_point now,
             std::uint64_t version) const;

  /** Whether a configuration may still be on its way, so that answers sent
   * after it are late and not lost. */
  bool IsUnderWay(std::chrono::steady_clock::time_point now) const;

  /** The connection was reopened; what was on its way is lost. */
  void OnReopened() { this->sent = 0; }

 private:
  std::uint64_t held = 0;
  std::uint64_t sent = 0;
  std::chrono::steady_clock::time_point arrives_before;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_CONFIGURATION_TRANSFER_H_
