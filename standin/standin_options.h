#ifndef STANDIN_STANDIN_OPTIONS_H_
#define STANDIN_STANDIN_OPTIONS_H_

// Defines ParseStandinOptions, the command line of the stand-in server.

#include <optional>
#include <string>

#include "standin/standin_server.h"

namespace lacewingferry::standin {

/** What the command line asks for: a text to print, or a server to run. */
struct StandinOptions {
  /** Set for --help and --version. */
  std::optional<std::string> text;
  StandinSettings settings;
};

/** Reads the command line. Throws FindingsError with all mistakes. */
StandinOptions ParseStandinOptions(int argc, const char* const* argv);

}  // namespace lacewingferry::standin

#endif  // STANDIN_STANDIN_OPTIONS_H_
