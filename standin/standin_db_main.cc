#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "lacewingferry/app/version.h"
#include "lacewingferry/core/finding.h"
#include "standin/log_line.h"
#include "standin/standin_options.h"
#include "standin/standin_server.h"

namespace {

using lacewingferry::standin::LogLine;
using lacewingferry::standin::StandinOptions;
using lacewingferry::standin::StandinServer;

/** Exit statuses. */
constexpr int kFailed = 1;
constexpr int kWrongOptions = 2;

/** Runs a server until it is told to end, and drains it. */
void Serve(const StandinOptions& options) {
  // The server's connections stop before the io_context goes away.
  boost::asio::io_context io(1);
  StandinServer server(io, options.settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) server.Drain([&io] { io.stop(); });
  });
  io.run();
  LogLine("stopped", {{"member", options.settings.member.name}});
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const StandinOptions options =
        lacewingferry::standin::ParseStandinOptions(argc, argv);
    if (options.text) {
      std::cout << (options.text->empty() ? lacewingferry::Version()
                                          : options.text->c_str())
                << "\n";
      return 0;
    }
    Serve(options);
    return 0;
  } catch (const lacewingferry::FindingsError& error) {
    for (const auto& finding : error.Findings()) {
      std::cerr << "standin_db: " << finding.message << "\n";
    }
    return kWrongOptions;
  } catch (const std::exception& error) {
    LogLine("failed", {{"reason", error.what()}});
    return kFailed;
  }
}
