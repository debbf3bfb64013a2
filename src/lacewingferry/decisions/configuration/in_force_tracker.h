#ifndef LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_
#define LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_

// Defines InForceTracker, which knows the revision that each proxy runs.

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "lacewingferry/core/configuration_in_force.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** A proxy that runs an earlier revision; 0 if it has reported none. */
struct LaggingNode {
  NodeId id;
  std::uint64_t revision = 0;
};

/** Where the revision in force is in force. */
struct InForceSummary {
  std::uint64_t revision = 0;
  /** The proxies that run the revision, of all that it names. */
  std::size_t in_force = 0;
  std::size_t total = 0;
  /** The others, by name. */
  std::vector<LaggingNode> lagging;
};

/** Collects the proxies' reports. Used on the control thread only. */
class InForceTracker {
 public:
  /**
   * Takes a proxy's report. Within one run of the proxy its revision never
   * goes down, so that late and doubled reports do no harm; a later run, which
   * has a larger incarnation, starts anew. Reports of earlier runs
   * change nothing.
   */
  void Report(const NodeId& node, std::uint64_t incarnation,
              std::uint64_t revision);

  /** Compares the reports with the configuration, and forgets proxies that it
   * doesn't name. */
  InForceSummary Summarize(const ConfigurationInForce& configuration);

 private:
  /** What a proxy reported last. */
  struct Reported {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
  };

  void ForgetUnnamed(const ConfigurationInForce& configuration);

  std::map<NodeId, Reported> reports;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CONFIGURATION_IN_FORCE_TRACKER_H_
