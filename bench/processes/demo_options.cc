#include "bench/processes/demo_options.h"

#include <cxxopts.hpp>
#include <string>

#include "bench/processes/demo_main.h"
#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry::processes {
namespace {

constexpr std::uint32_t kMostDatabases = 10;
constexpr std::uint32_t kMostCallers = 64;
constexpr std::chrono::milliseconds kLongestRun{600000};

cxxopts::Options Describe() {
  cxxopts::Options options(
      "ferry_demo",
      "Runs a cluster on this machine under load, kills a primary and a "
      "proxy, and checks every promise.");
  options.add_options()  //
      ("deployment", "kraanwater or wanjiru",
       cxxopts::value<std::string>()->default_value("kraanwater"))  //
      ("databases", "number of databases",
       cxxopts::value<std::uint32_t>()->default_value("1"))  //
      ("callers", "number of callers",
       cxxopts::value<std::uint32_t>()->default_value("12"))  //
      ("length", "length of the load",
       cxxopts::value<std::string>()->default_value("30s"))  //
      ("seed", "seed of the callers' choices",
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("keep",
       "leave the cluster running until Ctrl-C; its proxies then listen at "
       "127.0.0.1:7101, 7102 and 7103")  //
      ("h,help", "print this help and end");
  return options;
}

void CheckRange(const std::string& name, std::uint32_t value,
                std::uint32_t most) {
  if (value >= 1 && value <= most) return;
  throw UserError("--" + name + " must be from 1 to " + std::to_string(most));
}

}  // namespace

std::optional<DemoOptions> ParseDemoOptions(int argc, const char* const* argv,
                                            std::ostream& out) {
  const auto parsed = ParseDemoCommandLine(Describe(), argc, argv, out);
  if (!parsed) return std::nullopt;
  DemoOptions options;
  options.deployment = (*parsed)["deployment"].as<std::string>();
  options.databases = (*parsed)["databases"].as<std::uint32_t>();
  options.callers = (*parsed)["callers"].as<std::uint32_t>();
  options.length = ParseDuration((*parsed)["length"].as<std::string>());
  options.seed = (*parsed)["seed"].as<std::uint64_t>();
  options.keep = parsed->count("keep") > 0;
  CheckRange("databases", options.databases, kMostDatabases);
  CheckRange("callers", options.callers, kMostCallers);
  if (options.length > kLongestRun) throw UserError("--length is over 10min");
  options.binary_folder = OwnFolder();
  return options;
}

}  // namespace lacewingferry::processes
