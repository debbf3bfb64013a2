#ifndef BENCH_PROCESSES_CLUSTER_PLAN_H_
#define BENCH_PROCESSES_CLUSTER_PLAN_H_

// Defines ClusterPlan, the names and addresses of a cluster's processes on
// this machine.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/processes/deployment.h"
#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::processes {

/** A proxy or a control process. */
struct PlannedNode {
  NodeId id;
  AvailabilityZone zone;
  std::string region;
  /** Where callers or operators connect. */
  Endpoint listen;
  std::string peer_url;
};

/** A stand-in backend server. */
struct PlannedMember {
  MemberId id;
  DatabaseId database;
  AvailabilityZone zone;
  Endpoint listen;
  Endpoint replication;
  /** Whether it is the database's first primary. */
  bool first_primary = false;
  /** The first primary's replication endpoint. */
  Endpoint follows;
};

/** A whole cluster: in each zone a proxy, a control process and a member of
 * each database. */
struct ClusterPlan {
  Deployment deployment;
  std::vector<DatabaseId> databases;
  std::vector<PlannedNode> proxies;
  std::vector<PlannedNode> controls;
  std::vector<PlannedMember> members;
};

/** Plans a cluster. next_port gives ports that nothing listens at; the first
 * ones go to the proxies' callers. */
ClusterPlan MakeClusterPlan(const Deployment& deployment,
                            std::uint32_t database_count,
                            const std::function<std::uint16_t()>& next_port);

/** The release note that puts the plan's groups and proxies in force. */
ReleaseNote FirstNoteOf(const ClusterPlan& plan);

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_CLUSTER_PLAN_H_
