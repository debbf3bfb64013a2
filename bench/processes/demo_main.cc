#include "bench/processes/demo_main.h"

#include <exception>
#include <filesystem>
#include <iostream>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::processes {
namespace {

constexpr int kPromiseBroken = 1;
constexpr int kUserError = 2;
constexpr int kFailed = 3;

}  // namespace

int DemoMain(const std::string& program,
             const std::function<std::optional<bool>()>& run) {
  try {
    return run().value_or(true) ? 0 : kPromiseBroken;
  } catch (const UserError& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kUserError;
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kFailed;
  }
}

std::optional<cxxopts::ParseResult> ParseDemoCommandLine(
    cxxopts::Options options, int argc, const char* const* argv,
    std::ostream& out) {
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      out << options.help();
      return std::nullopt;
    }
    if (!parsed.unmatched().empty()) {
      throw UserError("unexpected argument " + parsed.unmatched().front());
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    throw UserError(error.what());
  }
}

std::string OwnFolder() {
  return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

}  // namespace lacewingferry::processes
