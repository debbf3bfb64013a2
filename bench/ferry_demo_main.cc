#include <iostream>

#include "bench/processes/demo_main.h"
#include "bench/processes/demo_options.h"

int main(int argc, char** argv) {
  using lacewingferry::processes::ParseDemoOptions;
  using lacewingferry::processes::RunDemo;
  return lacewingferry::processes::DemoMain(
      "ferry_demo", [&]() -> std::optional<bool> {
        const auto options = ParseDemoOptions(argc, argv, std::cout);
        if (!options) return std::nullopt;
        return RunDemo(*options, std::cout);
      });
}
