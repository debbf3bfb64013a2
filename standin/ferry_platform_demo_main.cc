#include <exception>
#include <iostream>

#include "lacewingferry/core/errors.h"
#include "standin/platform/platform_demo.h"

namespace {

constexpr int kPromiseBroken = 1;
constexpr int kUserError = 2;
constexpr int kFailed = 3;

}  // namespace

int main(int argc, char** argv) {
  using lacewingferry::standin::ParsePlatformDemoOptions;
  using lacewingferry::standin::RunPlatformDemo;
  try {
    const auto options = ParsePlatformDemoOptions(argc, argv, std::cout);
    if (!options) return 0;
    return RunPlatformDemo(*options, std::cout) ? 0 : kPromiseBroken;
  } catch (const lacewingferry::UserError& error) {
    std::cerr << "ferry_platform_demo: " << error.what() << "\n";
    return kUserError;
  } catch (const std::exception& error) {
    std::cerr << "ferry_platform_demo: " << error.what() << "\n";
    return kFailed;
  }
}
