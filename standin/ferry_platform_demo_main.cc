#include <iostream>

#include "bench/processes/demo_main.h"
#include "standin/platform/platform_demo.h"

int main(int argc, char** argv) {
  using lacewingferry::standin::ParsePlatformDemoOptions;
  using lacewingferry::standin::RunPlatformDemo;
  return lacewingferry::processes::DemoMain(
      "ferry_platform_demo", [&]() -> std::optional<bool> {
        const auto options = ParsePlatformDemoOptions(argc, argv, std::cout);
        if (!options) return std::nullopt;
        return RunPlatformDemo(*options, std::cout);
      });
}
