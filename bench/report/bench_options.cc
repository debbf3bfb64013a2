#include "bench/report/bench_options.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace lacewingferry::report {

void AddFigureOptions(cxxopts::Options& options) {
  options.add_options()("write", "Write the figures to this file as JSON",
                        cxxopts::value<std::string>()->default_value(""))(
      "beside", "Print the figures of this file beside the new ones",
      cxxopts::value<std::string>()->default_value(""));
}

FigureFiles FigureFilesOf(const cxxopts::ParseResult& arguments) {
  return {arguments["write"].as<std::string>(),
          arguments["beside"].as<std::string>()};
}

int RunBench(const std::string& program, const std::function<int()>& body) {
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}

}  // namespace lacewingferry::report
