#ifndef BENCH_MODEL_MEMBERSHIP_LOAD_H_
#define BENCH_MODEL_MEMBERSHIP_LOAD_H_

// Defines MeasureMembershipLoad, which counts what membership costs a process.

#include <cstddef>
#include <functional>

#include "lacewingferry/core/messages/peer_message.h"

namespace lacewingferry::model {

/** Gives the encoded size of a message in bytes. */
using SizeHook = std::function<std::size_t(const PeerMessage&)>;

/** What one process sends and receives a second. */
struct TrafficRate {
  double messages_sent = 0;
  double bytes_sent = 0;
  double bytes_received = 0;

  /** Both ways together. */
  double Bytes() const { return this->bytes_sent + this->bytes_received; }
};

/** The load of relays and of other proxies, as a mean and for the one that
 * carries most. */
struct RoleLoad {
  TrafficRate mean;
  TrafficRate largest;
};

/** The load at a size of the fleet. */
struct MembershipLoad {
  RoleLoad relay;
  RoleLoad other;
};

/** The loads of a fleet in which nothing changes, and with the changes that
 * the target expects of a fleet of that size. */
struct MembershipLoads {
  MembershipLoad idle;
  MembershipLoad churning;
};

/** Runs a fleet of proxies with 4.2 members each. The cost of a restart, of a
 * failure and of a changed member is measured by some of each, and counted as
 * often as it happens on an average day. */
MembershipLoads MeasureMembershipLoad(std::size_t proxies, std::size_t zones,
                                      const SizeHook& size_of);

}  // namespace lacewingferry::model

#endif  // BENCH_MODEL_MEMBERSHIP_LOAD_H_
