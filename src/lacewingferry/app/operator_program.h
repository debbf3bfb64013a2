#ifndef LACEWINGFERRY_APP_OPERATOR_PROGRAM_H_
#define LACEWINGFERRY_APP_OPERATOR_PROGRAM_H_

// Defines RunOperatorCommand, which carries out a command of ferryctl.

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/app/operator_command.h"

namespace lacewingferry {

/** The exit status when no control process gave an answer. */
constexpr int kExitUnreachable = 3;

/** What a command acts through. */
struct OperatorProgramHooks {
  /** Sends a request to the leader. Throws UnreachableError. */
  std::function<HttpResponse(const HttpRequest&)> call;
  /** Sends a request to each control process. Throws UnreachableError. */
  std::function<std::vector<HttpResponse>(const HttpRequest&)> call_each;
  /** The content of a file. Throws UserError. */
  std::function<std::string(const std::string& path)> read_file;
  std::function<std::chrono::steady_clock::time_point()> now;
  /** Sleeps. */
  std::function<void(std::chrono::milliseconds)> pause;
};

/** Carries out a command, prints its result and returns the exit status.
 * Throws UserError for a mistake of the user, UnreachableError when no control
 * process answers. */
int RunOperatorCommand(const OperatorCommand& command,
                       const OperatorProgramHooks& hooks, std::ostream& out);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_PROGRAM_H_
