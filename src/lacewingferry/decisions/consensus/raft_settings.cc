#include "lacewingferry/decisions/consensus/raft_settings.h"

#include <string>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

void Require(bool holds, const char* name, std::chrono::milliseconds value,
             const char* rule) {
  if (holds) return;
  throw UserError(std::string("control log: ") + name + " of " +
                  std::to_string(value.count()) + " ms must be " + rule);
}

}  // namespace

void CheckRaftSettings(const RaftSettings& settings) {
  Require(settings.heartbeat.count() > 0, "heartbeat", settings.heartbeat,
          "positive");
  Require(settings.election_timeout_min > 2 * settings.heartbeat,
          "election_timeout_min", settings.election_timeout_min,
          "more than two heartbeats");
  Require(settings.election_timeout_max > settings.election_timeout_min,
          "election_timeout_max", settings.election_timeout_max,
          "more than election_timeout_min");
  Require(settings.Lease() > settings.heartbeat, "lease_margin",
          settings.lease_margin, "small enough to leave more than a heartbeat");
  Require(settings.lease_margin.count() > 0, "lease_margin",
          settings.lease_margin, "positive");
}

}  // namespace lacewingferry
