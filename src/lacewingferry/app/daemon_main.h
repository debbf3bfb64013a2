#ifndef LACEWINGFERRY_APP_DAEMON_MAIN_H_
#define LACEWINGFERRY_APP_DAEMON_MAIN_H_

// Defines DaemonMain, the command line that all daemons share.

#include <functional>
#include <string>

namespace lacewingferry {

/** Exit statuses of all programs. */
enum ExitStatus : int {
  kExitOk = 0,
  kExitFailed = 1,
  kExitUserError = 2,
};

/** What tells one daemon from another. */
struct DaemonDescription {
  std::string name;
  std::string summary;
  /** Reads the settings file; throws UserError with all findings. */
  std::function<void(const std::string& path)> check;
  /** Reads the settings file and runs until a planned stop. */
  std::function<void(const std::string& path)> run;
  /** Founds the control log; empty for a daemon without one. */
  std::function<void(const std::string& path)> found{};
};

/** Takes --settings, --check-settings, --help and --version, and turns errors
 * into messages and exit statuses. */
int DaemonMain(int argc, char** argv, const DaemonDescription& daemon);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_DAEMON_MAIN_H_
