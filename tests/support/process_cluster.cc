#include "tests/support/process_cluster.h"

#include <cppunit/TestAssert.h>

#include <sstream>

#include "bench/processes/free_ports.h"
#include "bench/processes/poll_until.h"
#include "bench/processes/verdict_table.h"
#include "tests/support/program_folder.h"

namespace lacewingferry::testing {
namespace {

using processes::ClusterPlan;
using processes::LocalCluster;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{60000};
constexpr milliseconds kProbeLimit{1000};
constexpr milliseconds kRequestTimeout{5000};

std::unique_ptr<LocalCluster> StartCluster(const std::string& deployment) {
  processes::FreePorts ports;
  ClusterPlan plan =
      processes::MakeClusterPlan(processes::FindDeployment(deployment), 1,
                                 [&ports] { return ports.Take(); });
  auto cluster =
      std::make_unique<LocalCluster>(std::move(plan), ProgramFolder());
  cluster->KeepFiles();
  cluster->Start(kStartLimit);
  processes::CreateTables(cluster->Plan(), kStartLimit);
  cluster->KeepFiles(false);
  return cluster;
}

}  // namespace

ProcessCluster::ProcessCluster(const std::string& deployment)
    : local(StartCluster(deployment)) {}

MemberId ProcessCluster::FailPrimary(int signal) {
  MemberId primary = this->local->PrimaryOf(this->Database(), kProcessDeadline);
  this->failures.push_back(
      {this->Database(), primary, std::chrono::steady_clock::now()});
  this->local->Process(primary.Value()).Signal(signal);
  return primary;
}

MemberId ProcessCluster::WaitForOtherPrimary(const MemberId& old) {
  MemberId found;
  const bool other = processes::PollUntil(kProcessDeadline, [&] {
    try {
      found = this->local->PrimaryOf(this->Database(), kProbeLimit);
      return found != old;
    } catch (const std::runtime_error&) {
      return false;
    }
  });
  this->Assert("another primary than " + old.Value(), other);
  return found;
}

void ProcessCluster::StartLoad(milliseconds length, std::uint32_t callers) {
  processes::LoadSettings settings;
  settings.length = length;
  settings.callers = callers;
  this->load = std::make_unique<processes::CallerLoad>(this->Plan(), settings);
  this->load->Start();
}

processes::RunVerdict ProcessCluster::FinishLoad() {
  auto verdict = processes::CheckRun(
      this->Plan(), this->load->Finish(),
      {this->failures, this->local->Promotions()}, kProcessDeadline);
  verdict.CountRefusedSessions(this->local->RefusedSessions());
  std::ostringstream table;
  processes::WriteVerdict(verdict, table);
  this->Assert(table.str(), verdict.Kept() && verdict.acknowledged > 0);
  return verdict;
}

processes::StatementReply ProcessCluster::Send(std::size_t proxy,
                                               const StatementRequest& request,
                                               const std::string& token) {
  return processes::StatementClient(this->Plan().proxies.at(proxy).listen)
      .Send(request, token);
}

StatementRequest ProcessCluster::Request(
    RequestKind kind, const std::string& sql,
    const std::vector<SqlValue>& parameters) const {
  StatementRequest request;
  request.database = this->Database();
  request.kind = kind;
  request.statement = SqlStatement{sql, parameters};
  request.timeout = kRequestTimeout;
  return request;
}

void ProcessCluster::Assert(const std::string& what, bool condition) {
  if (condition) return;
  this->local->KeepFiles();
  CPPUNIT_FAIL(what + "; logs: " + this->local->Files().Folder());
}

}  // namespace lacewingferry::testing
