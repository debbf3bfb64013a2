#ifndef LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_
#define LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_

// Defines ZoneDirectory, which proxies of each availability zone take sessions.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "lacewingferry/core/messages/fleet_messages.h"

namespace lacewingferry {

/**
 * Keeps the proxies that report, at the leader of control. A new leader hears
 * of them one by one, and tells nothing until all have had the time to report:
 * a list that lacks some would move groups that nobody left.
 */
class ZoneDirectory {
 public:
  explicit ZoneDirectory(std::chrono::milliseconds longest_silence)
      : silence(longest_silence) {}

  /** A new leader knows nobody. */
  void Restart(std::chrono::steady_clock::time_point now);

  /** Notes a report. A proxy that drains takes no sessions. */
  void OnReport(std::chrono::steady_clock::time_point now, const NodeId& node,
                const AvailabilityZone& zone, bool draining);

  /** Forgets the proxies that have been silent for too long. */
  void DropSilent(std::chrono::steady_clock::time_point now);

  /** The proxies of a zone; none while some may be missing. */
  std::optional<ZoneProxies> Of(std::chrono::steady_clock::time_point now,
                                const AvailabilityZone& zone);

 private:
  using Heard = std::map<NodeId, std::chrono::steady_clock::time_point>;

  ZoneProxies Make(const Heard& heard) const;

  std::chrono::milliseconds silence;
  std::chrono::steady_clock::time_point complete_from;
  std::map<AvailabilityZone, Heard> zones;
  /** What was made since the last change. */
  std::map<AvailabilityZone, ZoneProxies> made;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_SWITCHOVER_ZONE_DIRECTORY_H_
