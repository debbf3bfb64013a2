#ifndef LACEWINGFERRY_APP_OPERATOR_COMMAND_H_
#define LACEWINGFERRY_APP_OPERATOR_COMMAND_H_

// Defines OperatorCommand, what the command line of ferryctl asks for.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Names standard input where a file is asked for. */
inline constexpr char kStandardInput[] = "-";

/** The subcommands. */
enum class OperatorAction : std::uint8_t {
  /** Print the message and end: help or the version. */
  kPrint,
  kCheck,
  kDiff,
  kApply,
  kShow,
  kHistory,
  kStatus,
  kTimeline,
  kExplain,
};

/** How results are printed. */
enum class OutputFormat : std::uint8_t { kText, kJson, kSvg };

/** A command line. */
struct OperatorCommand {
  OperatorAction action = OperatorAction::kPrint;
  /** What kPrint prints. */
  std::string message;
  std::string note_path;
  /** The request that kExplain is about. */
  RequestId request;
  std::vector<Endpoint> controls;
  std::string operator_name;
  std::string secret_path;
  OutputFormat format = OutputFormat::kText;
  /** How long apply waits until the note is in force everywhere; 0 for not at
   * all. */
  std::chrono::milliseconds wait{0};
  /** Log files for the time line and the path of a request; "-" stands for
   * standard input. */
  std::vector<std::string> log_paths;
};

/** Reads a command line. Throws UserError for a wrong one. */
OperatorCommand ParseOperatorCommand(int argc, const char* const* argv);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_COMMAND_H_
