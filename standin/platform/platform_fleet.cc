#include "standin/platform/platform_fleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "bench/processes/file_text.h"
#include "bench/processes/free_ports.h"
#include "bench/processes/http_client.h"
#include "bench/processes/poll_until.h"

namespace lacewingferry::standin {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{2000};
constexpr char kGroup[] = "db";
constexpr int kOk = 200;
const std::vector<std::size_t> kAllControls{0, 1, 2};

std::string MakeFolder() {
  const auto base = std::filesystem::temp_directory_path() / "ferry-XXXXXX";
  std::string name = base.string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder: " + name);
  }
  return name;
}

std::string ControlName(std::size_t number) {
  return "control-" + std::to_string(number);
}

std::string ProxyName(std::size_t number) {
  return "proxy-" + std::to_string(number);
}

nlohmann::json Route(const char* kind, milliseconds max_staleness) {
  return {{"name", kind},
          {"host", kind},
          {"prefix", "/"},
          {"kind", kind},
          {"timeout_ms", 3000},
          {"slo_ms", 2000},
          {"priority", 1},
          {"service", kGroup},
          {"max_staleness_ms", max_staleness.count()}};
}

}  // namespace

PlatformFleet::PlatformFleet(std::string programs_folder)
    : folder(MakeFolder()), programs(std::move(programs_folder)) {
  processes::FreePorts ports;
  for (std::uint16_t* port :
       {&this->peer_port, &this->metrics_port, &this->control_port,
        &this->client_port, &this->relay_port, &this->ready_port,
        &this->promotion_port, &this->member_port}) {
    *port = ports.Take();
  }
  PlatformStandinPlan plan;
  plan.group = kGroup;
  for (std::size_t i = 0; i < kMembers; ++i) {
    plan.members.push_back(
        {"127.0.0." + std::to_string(31 + i), this->member_port});
  }
  plan.promotion = {"127.0.0.1", this->promotion_port};
  for (std::size_t i = 0; i < kControls; ++i) {
    plan.control.push_back({this->ControlHost(i), this->control_port});
  }
  this->standin = std::make_unique<PlatformStandin>(plan);
  for (std::size_t i = 0; i < kControls; ++i) {
    this->StartControl(i, true, kAllControls);
  }
  for (std::size_t i = 0; i < kProxies; ++i) this->StartProxy(i);
}

PlatformFleet::~PlatformFleet() {
  this->proxies.clear();
  this->controls.clear();
  if (this->keeps_folder) return;
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string PlatformFleet::ControlHost(std::size_t number) const {
  return "127.0.0." + std::to_string(11 + number);
}

std::string PlatformFleet::ProxyHost(std::size_t number) const {
  return "127.0.0." + std::to_string(21 + number);
}

std::string PlatformFleet::CommonSettings(
    const std::string& name, const std::string& host,
    const std::vector<std::size_t>& seeds) const {
  std::ostringstream out;
  out << "name: " << name << "\naddress: " << host << "\nzone: z0\n"
      << "regions: {z0: r0, z1: r1, z2: r2}\npeer_port: " << this->peer_port
      << "\nmetrics_port: " << this->metrics_port << "\ncontrol: [";
  const char* separator = "";
  for (const std::size_t seed : seeds) {
    out << separator << this->ControlHost(seed) << ":1";
    separator = ", ";
  }
  out << "]\nlog:\n  output: stdout\n";
  return out.str();
}

void PlatformFleet::StartControl(std::size_t number, bool founding,
                                 const std::vector<std::size_t>& seeds) {
  const std::string name = ControlName(number);
  const std::string host = this->ControlHost(number);
  const std::string disk = this->folder + "/" + name;
  std::filesystem::create_directories(disk);
  const std::string path = this->folder + "/" + name + ".yaml";
  std::ofstream(path) << this->CommonSettings(name, host, seeds)
                      << "listen: " << host << ":" << this->control_port
                      << "\ndata_folder: " << disk
                      << "\nfounding: " << (founding ? "true" : "false")
                      << "\ntolerated_losses: 1\npromotion: 127.0.0.1:"
                      << this->promotion_port << "\n";
  this->controls[number] = std::make_unique<processes::ChildProcess>(
      std::vector<std::string>{this->programs + "/ferryfleetd", "--settings",
                               path},
      this->LogPath(name));
}

void PlatformFleet::StartProxy(std::size_t number) {
  const std::string name = ProxyName(number);
  const std::string host = this->ProxyHost(number);
  const std::string path = this->folder + "/" + name + ".yaml";
  std::ofstream(path) << this->CommonSettings(name, host, kAllControls)
                      << "listen: " << host << ":" << this->client_port
                      << "\nreadiness: " << host << ":" << this->ready_port
                      << "\nrelay_port: " << this->relay_port << "\n";
  this->proxies[number] = std::make_unique<processes::ChildProcess>(
      std::vector<std::string>{this->programs + "/ferrysessiond", "--settings",
                               path},
      this->LogPath(name));
}

void PlatformFleet::RestartControl(std::size_t number) {
  this->StartControl(number, false, kAllControls);
}

void PlatformFleet::RestartControlWithoutDisk(
    std::size_t number, const std::vector<std::size_t>& seeds) {
  std::filesystem::remove_all(this->folder + "/" + ControlName(number));
  this->StartControl(number, false, seeds);
}

std::optional<double> PlatformFleet::ControlGauge(std::size_t number,
                                                  const std::string& name) {
  try {
    processes::HttpClient client(
        {this->ControlHost(number), this->metrics_port});
    std::istringstream page(client.Get("/metrics", kCallTimeout).body);
    for (std::string line; std::getline(page, line);) {
      if (line.rfind(name + " ", 0) == 0) {
        return std::stod(line.substr(name.size() + 1));
      }
    }
    return std::nullopt;
  } catch (const processes::HttpFailure&) {
    return std::nullopt;
  }
}

void PlatformFleet::RestartProxy(std::size_t number) {
  this->StartProxy(number);
}

Endpoint PlatformFleet::ClientAddress(std::size_t proxy) const {
  return {this->ProxyHost(proxy), this->client_port};
}

Endpoint PlatformFleet::MetricsAddress(std::size_t proxy) const {
  return {this->ProxyHost(proxy), this->metrics_port};
}

int PlatformFleet::TryConfiguration(const std::string& document) {
  int status = 0;
  for (std::size_t i = 0; i < kControls; ++i) {
    try {
      processes::HttpClient client({this->ControlHost(i), this->control_port});
      status = client.Post("/config/replace", document, kCallTimeout).status;
    } catch (const processes::HttpFailure&) {
      continue;
    }
    if (status == kOk || status / 100 == 4) return status;
  }
  return status;
}

void PlatformFleet::PutConfiguration(std::uint64_t version) {
  this->PutConfiguration(version, {});
}

void PlatformFleet::PutConfiguration(
    std::uint64_t version, const std::vector<PlatformCustomer>& customers,
    std::uint32_t connections) {
  nlohmann::json document = {
      {"version", version},
      {"routes",
       {Route("primary", milliseconds(0)), Route("bounded", milliseconds(1500)),
        Route("session", milliseconds(2500))}},
      {"services",
       {{{"name", kGroup}, {"max_conns", connections}, {"sync_replicas", 1}}}},
      {"limits", {{"tx_idle_ms", 3000}}}};
  for (const PlatformCustomer& customer : customers) {
    nlohmann::json entry = {
        {"name", customer.name}, {"api_keys", customer.keys}, {"priority", 1}};
    if (customer.rate > 0) {
      entry["rate_per_s"] = customer.rate;
      entry["burst"] = customer.rate;
    }
    document["tenants"].push_back(entry);
  }
  const bool put = processes::PollUntil(kFleetDeadline, [&] {
    return this->TryConfiguration(document.dump()) == kOk;
  });
  if (!put) throw std::runtime_error("no configuration; see " + this->folder);
}

std::uint64_t PlatformFleet::FetchVersion() {
  for (std::size_t i = 0; i < kControls; ++i) {
    try {
      processes::HttpClient client({this->ControlHost(i), this->control_port});
      const auto answer = client.Get("/config/fetch", kCallTimeout);
      if (answer.status != kOk) continue;
      return nlohmann::json::parse(answer.body).at("version");
    } catch (const processes::HttpFailure&) {
      continue;
    }
  }
  return 0;
}

bool PlatformFleet::Ready(std::size_t proxy) {
  try {
    processes::HttpClient client({this->ProxyHost(proxy), this->ready_port});
    return client.Get("/readyz", kCallTimeout).status == kOk;
  } catch (const processes::HttpFailure&) {
    return false;
  }
}

void PlatformFleet::AwaitReady() {
  const bool ready = processes::PollUntil(
      kFleetDeadline, [this] { return this->Ready(0) && this->Ready(1); });
  if (!ready) throw std::runtime_error("not ready; see " + this->folder);
}

std::string PlatformFleet::LogPath(const std::string& name) const {
  return this->folder + "/" + name + ".log";
}

std::vector<std::string> PlatformFleet::Logs() const {
  std::vector<std::string> logs;
  for (std::size_t i = 0; i < kControls; ++i) {
    logs.push_back(this->LogPath(ControlName(i)));
  }
  for (std::size_t i = 0; i < kProxies; ++i) {
    logs.push_back(this->LogPath(ProxyName(i)));
  }
  return logs;
}

std::string PlatformFleet::LogOfProxy(std::size_t proxy) const {
  return processes::FileText(this->LogPath(ProxyName(proxy)));
}

}  // namespace lacewingferry::standin
