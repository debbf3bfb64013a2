#ifndef BENCH_PROCESSES_LOCAL_CLUSTER_H_
#define BENCH_PROCESSES_LOCAL_CLUSTER_H_

// Defines LocalCluster, the processes of a whole cluster on this machine.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/processes/child_process.h"
#include "bench/processes/cluster_files.h"
#include "bench/processes/cluster_plan.h"
#include "bench/processes/run_check.h"

namespace lacewingferry::processes {

/** Starts, kills and restarts the processes of a plan. Ends them all in the
 * destructor. For one thread. */
class LocalCluster {
 public:
  /** binary_folder holds the programs. Starts nothing yet. */
  LocalCluster(ClusterPlan plan, std::string binary_folder);

  /** Starts all processes and waits until each proxy answers reads and writes
   * of each database. Throws std::runtime_error that names what isn't ready
   * when the limit is over. */
  void Start(std::chrono::milliseconds limit);

  /** Starts a process that isn't running, with the data it left. */
  void StartProxy(const PlannedNode& proxy);
  void StartControl(const PlannedNode& control);
  void StartMember(const PlannedMember& member);

  /** The process of that name. Throws std::out_of_range for a process that
   * was never started. */
  ChildProcess& Process(const std::string& name);

  /** Whether all databases take writes at a proxy. */
  bool Serves(const PlannedNode& proxy) const;

  /** The member that answers a write of the database now. Throws
   * std::runtime_error if none does within the limit. */
  MemberId PrimaryOf(const DatabaseId& database,
                     std::chrono::milliseconds limit) const;

  /** The control process that leads. Throws std::runtime_error if none does
   * within the limit. */
  NodeId ControlLeader(std::chrono::milliseconds limit) const;

  const ClusterPlan& Plan() const { return this->plan; }
  const ClusterFiles& Files() const { return this->files; }

  /** Sets whether logs and data stay behind. */
  void KeepFiles(bool leave = true) { this->files.Keep(leave); }

  /** Sessions that members refused because all their slots were in use. */
  std::uint64_t RefusedSessions() const;

  /** The promotions that the members' logs tell. */
  std::vector<MemberPromotion> Promotions() const;

  /** Whether failover works: the control program is there. */
  bool HasControl() const;

 private:
  void Launch(const std::string& name,
              const std::vector<std::string>& arguments);
  std::string Program(const std::string& name) const;
  void FoundControl();
  void ApplyFirstNote(std::chrono::milliseconds limit);
  int RunOperatorCommand(const std::string& command,
                         const std::vector<PlannedNode>& controls) const;

  ClusterPlan plan;
  std::string binary_folder;
  ClusterFiles files;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_LOCAL_CLUSTER_H_
