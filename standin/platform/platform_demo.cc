#include "standin/platform/platform_demo.h"

#include <atomic>
#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "bench/processes/demo_main.h"
#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/errors.h"
#include "standin/platform/platform_caller.h"
#include "standin/platform/platform_fleet.h"
#include "standin/platform/platform_verdict.h"

namespace lacewingferry::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t kConfigurationVersion = 1;
constexpr std::uint32_t kMostCallers = 64;
constexpr milliseconds kShortestRun{4000};
constexpr milliseconds kLongestRun{600000};
constexpr milliseconds kStepPause{10};
/** A part of the run; the failures come at its first, second and third end. */
constexpr int kPartsOfRun = 4;

/** Runs callers, each on a thread of its own, until it is stopped. */
class PlatformLoad {
 public:
  PlatformLoad(const PlatformFleet& fleet, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      auto next_proxy = [&fleet, number = std::size_t{i}]() mutable {
        return fleet.ClientAddress(number++ % PlatformFleet::kProxies);
      };
      this->callers.push_back(std::make_unique<PlatformCaller>(
          "c" + std::to_string(i), std::move(next_proxy)));
      this->threads.emplace_back(
          [this, caller = this->callers.back().get()] { this->Run(caller); });
    }
  }

  ~PlatformLoad() { this->Stop(); }
  PlatformLoad(const PlatformLoad&) = delete;
  PlatformLoad& operator=(const PlatformLoad&) = delete;

  /** Ends the callers after their steps and gives what they noted. */
  PlatformRecord Finish() {
    this->Stop();
    PlatformRecord all;
    for (const auto& caller : this->callers) all.Add(caller->Record());
    return all;
  }

 private:
  void Run(PlatformCaller* caller) {
    while (!this->stopping) {
      caller->Step();
      std::this_thread::sleep_for(kStepPause);
    }
  }

  void Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) thread.join();
    this->threads.clear();
  }

  std::atomic<bool> stopping{false};
  std::vector<std::unique_ptr<PlatformCaller>> callers;
  std::vector<std::thread> threads;
};

void StopThePrimary(PlatformFleet& fleet, std::ostream& out) {
  const std::size_t primary = fleet.Standin().Primary();
  out << "stopping the primary, member " << primary << std::endl;
  fleet.Standin().StopMember(primary);
}

void KillAProxy(PlatformFleet& fleet, std::ostream& out) {
  out << "killing a proxy, and starting it again" << std::endl;
  fleet.Proxy(0).Kill();
  fleet.RestartProxy(0);
}

void KillControl(PlatformFleet& fleet, std::ostream& out) {
  out << "killing all of control, and starting it with its disks" << std::endl;
  for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
    fleet.Control(i).Kill();
  }
  for (std::size_t i = 0; i < PlatformFleet::kControls; ++i) {
    fleet.RestartControl(i);
  }
}

PlatformRecord RunLoad(PlatformFleet& fleet, const PlatformDemoOptions& options,
                       std::ostream& out) {
  const auto began = steady_clock::now();
  const milliseconds part = options.length / kPartsOfRun;
  PlatformLoad load(fleet, options.callers);
  std::this_thread::sleep_until(began + part);
  StopThePrimary(fleet, out);
  std::this_thread::sleep_until(began + 2 * part);
  KillAProxy(fleet, out);
  std::this_thread::sleep_until(began + 3 * part);
  KillControl(fleet, out);
  std::this_thread::sleep_until(began + options.length);
  return load.Finish();
}

cxxopts::Options Describe() {
  cxxopts::Options options(
      "ferry_platform_demo",
      "Runs the programs of the platform before a stand-in under load, stops "
      "the primary, kills a proxy and all of control, and checks promises.");
  options.add_options()  //
      ("callers", "number of clients",
       cxxopts::value<std::uint32_t>()->default_value("8"))  //
      ("length", "length of the load",
       cxxopts::value<std::string>()->default_value("20s"))  //
      ("h,help", "print this help and end");
  return options;
}

void CheckRanges(const PlatformDemoOptions& options) {
  if (options.callers < 1 || options.callers > kMostCallers) {
    throw UserError("--callers must be from 1 to " +
                    std::to_string(kMostCallers));
  }
  if (options.length < kShortestRun || options.length > kLongestRun) {
    throw UserError("--length must be from 4s to 10min");
  }
}

}  // namespace

std::optional<PlatformDemoOptions> ParsePlatformDemoOptions(
    int argc, const char* const* argv, std::ostream& out) {
  const auto parsed =
      processes::ParseDemoCommandLine(Describe(), argc, argv, out);
  if (!parsed) return std::nullopt;
  PlatformDemoOptions options;
  options.callers = (*parsed)["callers"].as<std::uint32_t>();
  options.length = ParseDuration((*parsed)["length"].as<std::string>());
  CheckRanges(options);
  options.programs = processes::OwnFolder();
  return options;
}

bool RunPlatformDemo(const PlatformDemoOptions& options, std::ostream& out) {
  out << "starting " << PlatformFleet::kProxies << " proxies, "
      << PlatformFleet::kControls << " processes of control, "
      << PlatformFleet::kMembers << " members" << std::endl;
  PlatformFleet fleet(options.programs);
  fleet.PutConfiguration(kConfigurationVersion);
  fleet.AwaitReady();
  const PlatformRecord record = RunLoad(fleet, options, out);
  const PlatformVerdict verdict =
      JudgePlatformRun(record, [&fleet](const std::string& item) {
        return fleet.Standin().Stores(item);
      });
  WritePlatformVerdict(verdict, out);
  if (verdict.Kept()) return true;
  fleet.KeepFolder();
  out << "logs are in " << fleet.Folder() << "\n";
  return false;
}

}  // namespace lacewingferry::standin
