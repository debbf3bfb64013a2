#ifndef BENCH_PROCESSES_DEPLOYMENT_H_
#define BENCH_PROCESSES_DEPLOYMENT_H_

// Defines Deployment, what tells one user's places and services from
// another's.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"

namespace lacewingferry::processes {

/** How often callers make each kind of request, as parts of a whole. */
struct RequestMix {
  /** Hires of standpipes, or coats recorded: identified, run at most once. */
  int bookings = 0;
  /** Draws from stores: identified, run at most once. */
  int draws = 0;
  /** Meter readings: may be repeated. */
  int readings = 0;
  /** Notes without an identifier: never sent again. */
  int notes = 0;
  int transactions = 0;
  /** Reads of what the session wrote. */
  int session_reads = 0;
  /** Reads that accept data of a stated age. */
  int progress_pages = 0;
};

/** One user's places and services. */
struct Deployment {
  std::string name;
  std::vector<AvailabilityZone> zones;
  GroupId group;
  std::uint32_t slots = 1;
  std::chrono::milliseconds connect_delay{0};
  /** One-way latency of a backend server's answers. */
  std::chrono::milliseconds latency{0};
  /** The age that progress pages accept. */
  std::chrono::milliseconds page_age{0};
  RequestMix mix;
};

/** Throws UserError for a name other than kraanwater and wanjiru. */
Deployment FindDeployment(const std::string& name);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_DEPLOYMENT_H_
