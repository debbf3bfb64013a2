#include <libpq-fe.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "bench/processes/child_process.h"
#include "bench/processes/cluster_plan.h"
#include "bench/processes/deployment.h"
#include "bench/processes/free_ports.h"
#include "bench/processes/local_cluster.h"
#include "bench/processes/poll_until.h"
#include "bench/processes/statement_client.h"
#include "lacewingferry/core/duration_text.h"

// Measures a real proxy on loopback: its memory with idle callers, and a
// statement through it beside the same statement at the next hop. The figures
// depend on the machine and judge nothing.

namespace {

using lacewingferry::processes::ChildProcess;
using lacewingferry::processes::FreePorts;
using lacewingferry::processes::LocalCluster;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using tcp = boost::asio::ip::tcp;

constexpr milliseconds kStartLimit{60000};
constexpr milliseconds kAcceptPause{1000};
constexpr int kStatements = 2000;
constexpr std::size_t kIdleCallers[] = {0, 500, 1000, 2300};

/** Resident memory of a process in kilobytes, as the system counts it. */
std::size_t ResidentKilobytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word != "VmRSS:") continue;
    std::size_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
  }
  return 0;
}

void MeasureIdleCallers(const lacewingferry::Endpoint& proxy, pid_t pid) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<tcp::socket>> callers;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(proxy.host),
                               proxy.port);
  std::cout << "idle callers   resident memory of the proxy\n";
  for (const std::size_t wanted : kIdleCallers) {
    while (callers.size() < wanted) {
      callers.push_back(std::make_unique<tcp::socket>(io));
      callers.back()->connect(endpoint);
    }
    // The proxy accepts connections after the system has completed them.
    std::this_thread::sleep_for(kAcceptPause);
    std::cout << std::setw(12) << wanted << "   " << ResidentKilobytes(pid)
              << " kB\n";
  }
}

struct Latency {
  std::chrono::nanoseconds median{0};
  std::chrono::nanoseconds worst_percent{0};
};

Latency Summarize(std::vector<std::chrono::nanoseconds> samples) {
  std::sort(samples.begin(), samples.end());
  return {samples[samples.size() / 2], samples[samples.size() * 99 / 100]};
}

Latency MeasureReads(const lacewingferry::Endpoint& proxy,
                     const lacewingferry::DatabaseId& database) {
  lacewingferry::processes::StatementClient client(proxy);
  lacewingferry::StatementRequest request;
  request.database = database;
  request.statement.sql = "SELECT 1";
  request.timeout = std::chrono::seconds(2);
  std::vector<std::chrono::nanoseconds> samples;
  for (int i = 0; i < kStatements; ++i) {
    const auto began = steady_clock::now();
    client.Send(request, "");
    samples.push_back(steady_clock::now() - began);
  }
  return Summarize(std::move(samples));
}

Latency MeasureDirect(const lacewingferry::Endpoint& member) {
  const std::string where = "host=" + member.host +
                            " port=" + std::to_string(member.port) +
                            " user=bench dbname=bench sslmode=disable";
  const std::unique_ptr<PGconn, decltype(&PQfinish)> connection(
      PQconnectdb(where.c_str()), &PQfinish);
  std::vector<std::chrono::nanoseconds> samples;
  for (int i = 0; i < kStatements; ++i) {
    const auto began = steady_clock::now();
    PGresult* result = PQexecParams(connection.get(), "SELECT 1", 0, nullptr,
                                    nullptr, nullptr, nullptr, 0);
    samples.push_back(steady_clock::now() - began);
    const bool answered = PQresultStatus(result) == PGRES_TUPLES_OK;
    PQclear(result);
    if (!answered) throw std::runtime_error(PQerrorMessage(connection.get()));
  }
  return Summarize(std::move(samples));
}

void PrintLatency(const char* what, const Latency& latency) {
  using Microseconds = std::chrono::duration<double, std::micro>;
  std::cout << std::left << std::setw(40) << what << std::right << std::fixed
            << std::setprecision(0) << "median "
            << Microseconds(latency.median).count() << " us, 99% "
            << Microseconds(latency.worst_percent).count() << " us\n";
}

void Measure(const std::string& folder) {
  FreePorts ports;
  LocalCluster cluster(
      lacewingferry::processes::MakeClusterPlan(
          lacewingferry::processes::FindDeployment("kraanwater"), 1,
          [&ports] { return ports.Take(); }),
      folder);
  cluster.Start(kStartLimit);
  const auto& plan = cluster.Plan();
  const auto& proxy = plan.proxies.front();
  MeasureIdleCallers(proxy.listen, cluster.Process(proxy.id.Value()).Id());

  const lacewingferry::Endpoint direct{"127.0.0.1", ports.Take()};
  const ChildProcess standin(
      {folder + "/standin_db", "--member", "bench", "--database", "bench",
       "--group", "bench", "--zone", "nh-a", "--port",
       std::to_string(direct.port), "--replication-port",
       std::to_string(ports.Take()), "--latency",
       lacewingferry::FormatDuration(plan.deployment.latency),
       "--initial-primary"},
      cluster.Files().LogOf("bench"));
  lacewingferry::processes::PollUntil(kStartLimit, [&direct] {
    return PQping(
               ("host=" + direct.host + " port=" + std::to_string(direct.port))
                   .c_str()) == PQPING_OK;
  });
  const Latency straight = MeasureDirect(direct);
  const Latency through = MeasureReads(proxy.listen, plan.databases.front());
  PrintLatency("straight to the stand-in, libpq", straight);
  PrintLatency("through the proxy that owns a slot", through);
  std::cout << std::setprecision(2) << "ratio of the medians "
            << std::chrono::duration<double>(through.median) /
                   std::chrono::duration<double>(straight.median)
            << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: proxy_bench FOLDER_OF_PROGRAMS\n";
    return 2;
  }
  try {
    Measure(argv[1]);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "proxy_bench: " << error.what() << "\n";
    return 1;
  }
}
