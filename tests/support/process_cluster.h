#ifndef TESTS_SUPPORT_PROCESS_CLUSTER_H_
#define TESTS_SUPPORT_PROCESS_CLUSTER_H_

// Defines ProcessCluster, a cluster of real processes for a test.

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "bench/processes/caller_load.h"
#include "bench/processes/local_cluster.h"
#include "bench/processes/run_check.h"
#include "bench/processes/statement_client.h"

namespace lacewingferry::testing {

/** How long a test waits for something that has to happen. */
constexpr std::chrono::milliseconds kProcessDeadline{30000};

/** A started cluster of one database with the tables of the load. Failed
 * assertions name the folder of the logs, which then stays. */
class ProcessCluster {
 public:
  /** deployment is kraanwater or wanjiru. The folder of the programs is that
   * of the environment variable FERRY_BINARY_DIR. */
  explicit ProcessCluster(const std::string& deployment);

  processes::LocalCluster& Local() { return *this->local; }
  const processes::ClusterPlan& Plan() const { return this->local->Plan(); }
  DatabaseId Database() const { return this->Plan().databases.front(); }

  /** Sends a signal to the database's primary and remembers the failure. */
  MemberId FailPrimary(int signal);

  /** Waits until a member other than that one leads. */
  MemberId WaitForOtherPrimary(const MemberId& old);

  /** Starts load; the test calls FinishLoad. */
  void StartLoad(std::chrono::milliseconds length, std::uint32_t callers = 8);

  /** Ends the load, reads all rows back and asserts that every promise was
   * kept and that writes were acknowledged. */
  processes::RunVerdict FinishLoad();

  /** Sends a statement to the proxy of that number. */
  processes::StatementReply Send(std::size_t proxy,
                                 const StatementRequest& request,
                                 const std::string& token = "");

  /** A request for the database with a generous time limit. */
  StatementRequest Request(RequestKind kind, const std::string& sql,
                           const std::vector<SqlValue>& parameters = {}) const;

  /** Asserts a condition; the message names the folder of the logs. */
  void Assert(const std::string& what, bool condition);

 private:
  std::unique_ptr<processes::LocalCluster> local;
  std::unique_ptr<processes::CallerLoad> load;
  std::vector<processes::PrimaryFailure> failures;
};

}  // namespace lacewingferry::testing

#endif  // TESTS_SUPPORT_PROCESS_CLUSTER_H_
