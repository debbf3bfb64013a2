#include <exception>
#include <iostream>

#include "bench/processes/demo_options.h"
#include "lacewingferry/core/errors.h"

namespace {

constexpr int kPromiseBroken = 1;
constexpr int kUserError = 2;
constexpr int kFailed = 3;

}  // namespace

int main(int argc, char** argv) {
  using lacewingferry::processes::ParseDemoOptions;
  using lacewingferry::processes::RunDemo;
  try {
    const auto options = ParseDemoOptions(argc, argv, std::cout);
    if (!options) return 0;
    return RunDemo(*options, std::cout) ? 0 : kPromiseBroken;
  } catch (const lacewingferry::UserError& error) {
    std::cerr << "ferry_demo: " << error.what() << "\n";
    return kUserError;
  } catch (const std::exception& error) {
    std::cerr << "ferry_demo: " << error.what() << "\n";
    return kFailed;
  }
}
