#include "bench/processes/demo.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include "bench/processes/caller_load.h"
#include "bench/processes/free_ports.h"
#include "bench/processes/local_cluster.h"
#include "bench/processes/run_check.h"
#include "bench/processes/verdict_table.h"
#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartLimit{60000};
constexpr milliseconds kCheckLimit{30000};
constexpr milliseconds kProgressInterval{1000};
constexpr milliseconds kProbeLimit{5000};
/** The first port of a cluster that is kept running. */
constexpr std::uint16_t kFirstKeptPort = 7101;

std::function<std::uint16_t()> PortsFor(bool keep) {
  if (keep) {
    return [next = kFirstKeptPort]() mutable { return next++; };
  }
  const auto ports = std::make_shared<FreePorts>();
  return [ports] { return ports->Take(); };
}

/** A failure that the demo brings about at a time of its run. */
struct PlannedFailure {
  milliseconds at;
  std::function<void()> act;
};

/** A demo on its way. */
class Demo {
 public:
  Demo(const DemoOptions& demo_options, std::ostream& stream)
      : options(demo_options),
        out(stream),
        cluster(MakeClusterPlan(FindDeployment(demo_options.deployment),
                                demo_options.databases,
                                PortsFor(demo_options.keep)),
                demo_options.binary_folder) {}

  bool Run() {
    this->out << "starting " << this->options.deployment << ": "
              << this->cluster.Plan().proxies.size() << " proxies, "
              << this->cluster.Plan().members.size() << " backend servers"
              << std::endl;
    this->cluster.Start(kStartLimit);
    CreateTables(this->cluster.Plan(), kStartLimit);
    const RunRecord record = this->RunLoad();
    RunVerdict verdict =
        CheckRun(this->cluster.Plan(), record,
                 {this->failures, this->cluster.Promotions()}, kCheckLimit);
    verdict.CountRefusedSessions(this->cluster.RefusedSessions());
    WriteVerdict(verdict, this->out);
    if (!verdict.Kept()) {
      this->cluster.KeepFiles();
      this->out << "logs are in " << this->cluster.Files().Folder() << "\n";
    }
    if (this->options.keep) this->Keep();
    return verdict.Kept();
  }

 private:
  RunRecord RunLoad() {
    LoadSettings settings;
    settings.name = this->options.deployment;
    settings.callers = this->options.callers;
    settings.length = this->options.length;
    settings.seed = this->options.seed;
    CallerLoad load(this->cluster.Plan(), settings);
    const auto start = steady_clock::now();
    load.Start();
    std::vector<PlannedFailure> planned = this->PlanFailures();
    std::size_t next = 0;
    while (steady_clock::now() < start + this->options.length) {
      std::this_thread::sleep_for(kProgressInterval);
      const auto passed = steady_clock::now() - start;
      if (next < planned.size() && passed >= planned[next].at) {
        planned[next++].act();
      }
      this->out
          << "  "
          << std::chrono::duration_cast<std::chrono::seconds>(passed).count()
          << " s, " << load.Steps() << " steps of callers" << std::endl;
    }
    return load.Finish();
  }

  std::vector<PlannedFailure> PlanFailures() {
    const milliseconds tenth = this->options.length / 10;
    return {{tenth * 3, [this] { this->KillPrimary(); }},
            {tenth * 5, [this] { this->RestartMember(); }},
            {tenth * 6, [this] { this->KillProxy(); }},
            {tenth * 8, [this] { this->RestartProxy(); }}};
  }

  void KillPrimary() {
    const DatabaseId& database = this->cluster.Plan().databases.front();
    const MemberId primary = this->cluster.PrimaryOf(database, kProbeLimit);
    this->out << "  killing the primary " << primary.Value() << std::endl;
    this->failures.push_back({database, primary, steady_clock::now()});
    this->cluster.Process(primary.Value()).Kill();
  }

  void RestartMember() {
    for (const PlannedMember& member : this->cluster.Plan().members) {
      if (member.id != this->failures.front().member) continue;
      this->out << "  restarting " << member.id.Value() << std::endl;
      this->cluster.StartMember(member);
    }
  }

  void KillProxy() {
    const PlannedNode& proxy = this->cluster.Plan().proxies.back();
    this->out << "  killing the proxy " << proxy.id.Value() << std::endl;
    this->cluster.Process(proxy.id.Value()).Kill();
  }

  void RestartProxy() {
    const PlannedNode& proxy = this->cluster.Plan().proxies.back();
    this->out << "  restarting " << proxy.id.Value() << std::endl;
    this->cluster.StartProxy(proxy);
  }

  void Keep() {
    const ClusterPlan& plan = this->cluster.Plan();
    this->out << "\nthe cluster runs until Ctrl-C; its files are in "
              << this->cluster.Files().Folder() << "\n";
    for (const PlannedNode& proxy : plan.proxies) {
      this->out << "  " << proxy.id.Value() << "  "
                << FormatEndpoint(proxy.listen) << "\n";
    }
    for (const PlannedNode& control : plan.controls) {
      this->out << "  " << control.id.Value() << "  "
                << FormatEndpoint(control.listen) << "\n";
    }
    const std::string url =
        "http://" + FormatEndpoint(plan.proxies.front().listen);
    const std::string database = plan.databases.front().Value();
    this->out << "try:\n  curl -s " << url << "/v1/health\n  curl -s " << url
              << "/v1/statements -d '{\"database\":\"" << database
              << "\",\"kind\":\"read\",\"sql\":\"SELECT count(*) FROM "
                 "bookings\"}'\n"
              << "docs/API.md has all requests." << std::endl;
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](boost::system::error_code, int) {});
    io.run();
  }

  DemoOptions options;
  std::ostream& out;
  LocalCluster cluster;
  std::vector<PrimaryFailure> failures;
};

}  // namespace

bool RunDemo(const DemoOptions& options, std::ostream& out) {
  return Demo(options, out).Run();
}

}  // namespace lacewingferry::processes
