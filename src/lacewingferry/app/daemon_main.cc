#include "lacewingferry/app/daemon_main.h"

#include <cxxopts.hpp>
#include <iostream>

#include "lacewingferry/app/version.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

cxxopts::Options MakeOptions(const DaemonDescription& daemon) {
  cxxopts::Options options(daemon.name, daemon.summary);
  options.add_options()  //
      ("s,settings", "the YAML settings file",
       cxxopts::value<std::string>())                                        //
      ("check-settings", "check the settings, report all findings and end")  //
      ("v,version", "print the version and end")                             //
      ("h,help", "print this help and end");
  if (daemon.found) {
    options.add_options()("found",
                          "found a new control log on the empty disk and end");
  }
  return options;
}

int RunChecked(const DaemonDescription& daemon,
               const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") == 0) {
    throw UserError("--settings FILE is missing; see --help");
  }
  if (!arguments.unmatched().empty()) {
    throw UserError("unexpected argument " + arguments.unmatched().front());
  }
  const auto path = arguments["settings"].as<std::string>();
  if (arguments.count("check-settings") > 0) {
    daemon.check(path);
    std::cout << path << ": no findings\n";
  } else if (daemon.found && arguments.count("found") > 0) {
    daemon.found(path);
  } else {
    daemon.run(path);
  }
  return kExitOk;
}

}  // namespace

int DaemonMain(int argc, char** argv, const DaemonDescription& daemon) {
  try {
    cxxopts::Options options = MakeOptions(daemon);
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (arguments.count("version") > 0) {
      std::cout << daemon.name << " " << Version() << "\n";
      return kExitOk;
    }
    return RunChecked(daemon, arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << daemon.name << ": " << error.what() << "\n";
    return kExitUserError;
  } catch (const UserError& error) {
    std::cerr << daemon.name << ": " << error.what() << "\n";
    return kExitUserError;
  } catch (const std::exception& error) {
    std::cerr << daemon.name << ": internal error: " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace lacewingferry
