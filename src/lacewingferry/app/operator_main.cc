#include "lacewingferry/app/operator_main.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

#include "lacewingferry/adapters/clock/system_clock.h"
#include "lacewingferry/adapters/http/operator_client.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/operator_command.h"
#include "lacewingferry/app/operator_program.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

std::string ReadFile(const std::string& path) {
  if (path == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(std::cin),
                       std::istreambuf_iterator<char>());
  }
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    throw UserError(path + " can't be read");
  }
  return std::string(std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>());
}

/** The secret of a file, without the end of its line. */
std::string ReadSecret(const std::string& path) {
  std::string secret = ReadFile(path);
  const std::size_t last = secret.find_last_not_of("\r\n");
  secret.erase(last == std::string::npos ? 0 : last + 1);
  if (secret.empty()) {
    throw UserError(path + " holds no secret");
  }
  return secret;
}

OperatorProgramHooks MakeHooks(const OperatorCommand& command) {
  OperatorProgramHooks hooks;
  const ClockPort clock = MakeSystemClock();
  if (!command.controls.empty()) {
    OperatorClientSettings settings;
    settings.controls = command.controls;
    settings.operator_name = command.operator_name;
    settings.secret = ReadSecret(command.secret_path);
    const auto client = std::make_shared<OperatorClient>(settings, clock);
    hooks.call = [client](const HttpRequest& request) {
      return client->Call(request);
    };
    hooks.call_each = [client](const HttpRequest& request) {
      return client->CallEach(request);
    };
  }
  hooks.read_file = ReadFile;
  hooks.now = clock.now;
  hooks.pause = [](std::chrono::milliseconds length) {
    std::this_thread::sleep_for(length);
  };
  return hooks;
}

}  // namespace

int OperatorMain(int argc, const char* const* argv) {
  try {
    const OperatorCommand command = ParseOperatorCommand(argc, argv);
    return RunOperatorCommand(command, MakeHooks(command), std::cout);
  } catch (const UnreachableError& error) {
    std::cerr << "ferryctl: " << error.what() << "\n";
    return kExitUnreachable;
  } catch (const UserError& error) {
    std::cerr << "ferryctl: " << error.what() << "\n";
    return kExitUserError;
  } catch (const std::exception& error) {
    std::cerr << "ferryctl: internal error: " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace lacewingferry
