#include "bench/processes/local_cluster.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "bench/processes/poll_until.h"
#include "bench/processes/statement_client.h"
#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeTimeout{1000};
/** How long a short-lived program may run. */
constexpr milliseconds kCommandLimit{10000};

/** ferryctl's exit status when no control process answered as leader. */
constexpr int kNoAnswer = 3;

/** The member that answers a plain read, which only a primary may. */
std::optional<MemberId> ProbePrimary(const PlannedNode& proxy,
                                     const DatabaseId& database) {
  StatementRequest request;
  request.database = database;
  request.statement.sql = "SELECT 1";
  request.timeout = kProbeTimeout;
  const StatementReply reply = StatementClient(proxy.listen).Send(request, "");
  const auto* answer = std::get_if<Answered>(&reply.outcome);
  if (answer == nullptr || answer->served_by_replica) return std::nullopt;
  return answer->served_by;
}

}  // namespace

LocalCluster::LocalCluster(ClusterPlan cluster_plan, std::string folder)
    : plan(std::move(cluster_plan)),
      binary_folder(std::move(folder)),
      files(this->plan) {}

bool LocalCluster::HasControl() const {
  return std::filesystem::exists(this->Program("ferrycontrold"));
}

void LocalCluster::Start(milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  const auto left = [&end] {
    const auto rest = end - std::chrono::steady_clock::now();
    return std::max(std::chrono::duration_cast<milliseconds>(rest),
                    milliseconds(0));
  };
  if (this->HasControl()) this->FoundControl();
  for (const auto& proxy : this->plan.proxies) this->StartProxy(proxy);
  if (this->HasControl()) this->ApplyFirstNote(left());
  for (const auto& member : this->plan.members) this->StartMember(member);
  for (const auto& proxy : this->plan.proxies) {
    if (PollUntil(left(), [&] { return this->Serves(proxy); })) continue;
    throw std::runtime_error(proxy.id.Value() + " doesn't serve; see " +
                             this->files.Folder());
  }
}

/** Founds the control log at one process and starts all; the others join. */
void LocalCluster::FoundControl() {
  const std::string& first = this->plan.controls.front().id.Value();
  ChildProcess found({this->Program("ferrycontrold"), "--settings",
                      this->files.SettingsOf(first), "--found"},
                     this->files.LogOf(first));
  if (found.WaitForEnd(kCommandLimit) != 0) {
    throw std::runtime_error("the control log can't be founded; see " +
                             this->files.LogOf(first));
  }
  for (const auto& control : this->plan.controls) this->StartControl(control);
}

void LocalCluster::StartProxy(const PlannedNode& proxy) {
  this->Launch(proxy.id.Value(), {this->Program("ferryproxyd"), "--settings",
                                  this->files.SettingsOf(proxy.id.Value())});
}

void LocalCluster::StartControl(const PlannedNode& control) {
  this->Launch(control.id.Value(),
               {this->Program("ferrycontrold"), "--settings",
                this->files.SettingsOf(control.id.Value())});
}

void LocalCluster::StartMember(const PlannedMember& member) {
  const std::string& name = member.id.Value();
  const std::string data = this->files.DataOf(name);
  const Deployment& deployment = this->plan.deployment;
  std::vector<std::string> arguments = {
      this->Program("standin_db"),
      "--member=" + name,
      "--database=" + member.database.Value(),
      "--group=" + deployment.group.Value(),
      "--zone=" + member.zone.Value(),
      "--port=" + std::to_string(member.listen.port),
      "--replication-port=" + std::to_string(member.replication.port),
      "--slots=" + std::to_string(deployment.slots),
      "--connect-delay=" + FormatDuration(deployment.connect_delay),
      "--latency=" + FormatDuration(deployment.latency),
      "--data=" + data};
  if (std::filesystem::is_empty(data)) {
    arguments.push_back(member.first_primary
                            ? "--initial-primary"
                            : "--follow=" + FormatEndpoint(member.follows));
  }
  for (const PlannedNode& proxy : this->plan.proxies) {
    const std::string option = "--announce=" + FormatEndpoint(proxy.listen);
    const bool own_zone = proxy.zone == member.zone;
    arguments.insert(own_zone ? arguments.begin() + 1 : arguments.end(),
                     option);
  }
  this->Launch(name, arguments);
}

ChildProcess& LocalCluster::Process(const std::string& name) {
  return *this->processes.at(name);
}

bool LocalCluster::Serves(const PlannedNode& proxy) const {
  return std::all_of(this->plan.databases.begin(), this->plan.databases.end(),
                     [&](const DatabaseId& database) {
                       return ProbePrimary(proxy, database).has_value();
                     });
}

MemberId LocalCluster::PrimaryOf(const DatabaseId& database,
                                 milliseconds limit) const {
  std::optional<MemberId> primary;
  const bool found = PollUntil(limit, [&] {
    for (const PlannedNode& proxy : this->plan.proxies) {
      primary = ProbePrimary(proxy, database);
      if (primary) return true;
    }
    return false;
  });
  if (!found) {
    throw std::runtime_error(database.Value() + " has no primary; see " +
                             this->files.Folder());
  }
  return *primary;
}

void LocalCluster::Launch(const std::string& name,
                          const std::vector<std::string>& arguments) {
  this->processes[name] =
      std::make_unique<ChildProcess>(arguments, this->files.LogOf(name));
}

std::string LocalCluster::Program(const std::string& name) const {
  return (std::filesystem::path(this->binary_folder) / name).string();
}

NodeId LocalCluster::ControlLeader(milliseconds limit) const {
  NodeId leader;
  const bool found = PollUntil(limit, [&] {
    for (const PlannedNode& control : this->plan.controls) {
      // Only the leader judges notes.
      if (this->RunOperatorCommand("check", {control}) == kNoAnswer) continue;
      leader = control.id;
      return true;
    }
    return false;
  });
  if (!found) {
    throw std::runtime_error("no control process leads; see " +
                             this->files.Folder());
  }
  return leader;
}

std::uint64_t LocalCluster::RefusedSessions() const {
  std::uint64_t refused = 0;
  for (const PlannedMember& member : this->plan.members) {
    std::ifstream log(this->files.LogOf(member.id.Value()));
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"session_refused\"") != std::string::npos) ++refused;
    }
  }
  return refused;
}

std::vector<MemberPromotion> LocalCluster::Promotions() const {
  const auto wall_now = std::chrono::system_clock::now().time_since_epoch();
  const auto now = std::chrono::steady_clock::now();
  std::vector<MemberPromotion> promotions;
  for (const PlannedMember& member : this->plan.members) {
    std::ifstream log(this->files.LogOf(member.id.Value()));
    for (std::string line; std::getline(log, line);) {
      const auto entry = nlohmann::json::parse(line, nullptr, false);
      if (entry.is_discarded() || entry.value("event", "") != "promoted")
        continue;
      const std::chrono::microseconds told(
          entry.at("time_us").get<std::int64_t>());
      promotions.push_back({member.id, now - (wall_now - told)});
    }
  }
  return promotions;
}

void LocalCluster::ApplyFirstNote(milliseconds limit) {
  const bool applied = PollUntil(limit, [&] {
    return this->RunOperatorCommand("apply", this->plan.controls) == 0;
  });
  if (!applied) {
    throw std::runtime_error("the first note can't be applied; see " +
                             this->files.Folder());
  }
}

/** Runs ferryctl with the first note. Returns its exit status. */
int LocalCluster::RunOperatorCommand(
    const std::string& command,
    const std::vector<PlannedNode>& controls) const {
  std::vector<std::string> arguments = {
      this->Program("ferryctl"), command, this->files.FirstNote(),
      "--operator=operator", "--secret-file=" + this->files.SecretFile()};
  for (const PlannedNode& control : controls) {
    arguments.push_back("--control=" + FormatEndpoint(control.listen));
  }
  ChildProcess run(arguments, this->files.LogOf("ferryctl"));
  return run.WaitForEnd(kCommandLimit).value_or(kNoAnswer);
}

}  // namespace lacewingferry::processes
