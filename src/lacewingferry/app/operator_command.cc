#include "lacewingferry/app/operator_command.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iterator>

#include "lacewingferry/app/version.h"
#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/endpoint_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using Texts = std::vector<std::string>;

/** What a subcommand takes after its name. */
enum class Operand : std::uint8_t { kNone, kNotePath, kRequestId };

/** A subcommand's name. */
struct ActionName {
  const char* name;
  OperatorAction action;
  Operand operand;
};

constexpr ActionName kActions[] = {
    {"check", OperatorAction::kCheck, Operand::kNotePath},
    {"diff", OperatorAction::kDiff, Operand::kNotePath},
    {"apply", OperatorAction::kApply, Operand::kNotePath},
    {"show", OperatorAction::kShow, Operand::kNone},
    {"history", OperatorAction::kHistory, Operand::kNone},
    {"status", OperatorAction::kStatus, Operand::kNone},
    {"timeline", OperatorAction::kTimeline, Operand::kNone},
    {"explain", OperatorAction::kExplain, Operand::kRequestId},
};

const char* const kSummary =
    "Drives lacewingferry by release notes.\n"
    "\n"
    "  check NOTE   report all mistakes of a note\n"
    "  diff NOTE    show what a note would change\n"
    "  apply NOTE   apply a note\n"
    "  show         print what is in force, as a note\n"
    "  history      list the accepted notes\n"
    "  status       say on which proxies the configuration is in force\n"
    "  timeline     show the events of all processes\n"
    "  explain ID   show what the logs on standard input, or in --log, say of\n"
    "               a request, in order, with all that bears on it\n"
    "\n"
    "Exit status: 0 done, 1 refused, not in force in time or no such request,\n"
    "2 a mistake in the command or its files, 3 no control process gave an\n"
    "answer.\n";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("ferryctl", kSummary);
  options.positional_help("COMMAND [NOTE or ID]");
  options.add_options()  //
      ("c,control", "a control process, IP:PORT; may be repeated",
       cxxopts::value<Texts>())                                   //
      ("o,operator", "your name", cxxopts::value<std::string>())  //
      ("secret-file", "the file that holds the operators' secret",
       cxxopts::value<std::string>())  //
      ("f,format", "text, json, or svg for the time line",
       cxxopts::value<std::string>()->default_value("text"))  //
      ("w,wait",
       "how long apply waits until the note is in force, for "
       "example 8s",
       cxxopts::value<std::string>())  //
      ("l,log", "a log file for timeline and explain; may be repeated",
       cxxopts::value<Texts>())                   //
      ("v,version", "print the version and end")  //
      ("h,help", "print this help and end")       //
      ("words", "", cxxopts::value<Texts>());
  options.parse_positional({"words"});
  return options;
}

OutputFormat ParseFormat(const std::string& text) {
  if (text == "text") {
    return OutputFormat::kText;
  }
  if (text == "json") {
    return OutputFormat::kJson;
  }
  if (text == "svg") {
    return OutputFormat::kSvg;
  }
  throw UserError("--format must be text, json or svg, not '" + text + "'");
}

Endpoint ParseControl(const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    throw UserError("--control must be IP:PORT, not '" + text + "'");
  }
  return *endpoint;
}

const char* OperandText(Operand operand) {
  return operand == Operand::kNotePath ? "the path of a note"
                                       : "the id of a request";
}

/** Takes the subcommand and its operand from the words of the command line. */
void TakeWords(const Texts& words, OperatorCommand* command) {
  if (words.empty()) {
    throw UserError("a command is missing; see --help");
  }
  const auto* known = std::find_if(
      std::begin(kActions), std::end(kActions),
      [&](const ActionName& each) { return words[0] == each.name; });
  if (known == std::end(kActions)) {
    throw UserError("unknown command '" + words[0] + "'; see --help");
  }
  const std::size_t expected = known->operand == Operand::kNone ? 1 : 2;
  if (words.size() < expected) {
    throw UserError(words[0] + " needs " + OperandText(known->operand));
  }
  if (words.size() > expected) {
    throw UserError("unexpected argument '" + words[expected] + "'");
  }
  command->action = known->action;
  if (known->operand == Operand::kNotePath) command->note_path = words[1];
  if (known->operand == Operand::kRequestId) {
    command->request = RequestId(words[1]);
  }
}

void TakeOptions(const cxxopts::ParseResult& parsed, OperatorCommand* command) {
  if (parsed.count("control") > 0) {
    for (const std::string& text : parsed["control"].as<Texts>()) {
      command->controls.push_back(ParseControl(text));
    }
  }
  if (parsed.count("operator") > 0) {
    command->operator_name = parsed["operator"].as<std::string>();
  }
  if (parsed.count("secret-file") > 0) {
    command->secret_path = parsed["secret-file"].as<std::string>();
  }
  if (parsed.count("wait") > 0) {
    command->wait = ParseDuration(parsed["wait"].as<std::string>());
  }
  if (parsed.count("log") > 0) {
    command->log_paths = parsed["log"].as<Texts>();
  } else if (command->action == OperatorAction::kExplain) {
    command->log_paths = {kStandardInput};
  }
  command->format = ParseFormat(parsed["format"].as<std::string>());
}

/** Checks that the options fit the subcommand. */
void CheckOptions(const OperatorCommand& command) {
  const bool timeline = command.action == OperatorAction::kTimeline;
  const bool local = command.action == OperatorAction::kCheck ||
                     command.action == OperatorAction::kExplain ||
                     (timeline && !command.log_paths.empty());
  if (command.controls.empty() && !local) {
    throw UserError("--control is missing");
  }
  const bool named =
      !command.operator_name.empty() && !command.secret_path.empty();
  if (!command.controls.empty() && !named) {
    throw UserError("--control needs --operator and --secret-file");
  }
  if (command.format == OutputFormat::kSvg && !timeline) {
    throw UserError("--format svg is for the time line only");
  }
}

}  // namespace

OperatorCommand ParseOperatorCommand(int argc, const char* const* argv) {
  try {
    cxxopts::Options options = MakeOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    OperatorCommand command;
    if (parsed.count("help") > 0) {
      command.message = options.help();
      return command;
    }
    if (parsed.count("version") > 0) {
      command.message = std::string("ferryctl ") + Version() + "\n";
      return command;
    }
    TakeWords(parsed.count("words") > 0 ? parsed["words"].as<Texts>() : Texts(),
              &command);
    TakeOptions(parsed, &command);
    CheckOptions(command);
    return command;
  } catch (const cxxopts::exceptions::exception& error) {
    throw UserError(error.what());
  }
}

}  // namespace lacewingferry
