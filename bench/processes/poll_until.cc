#include "bench/processes/poll_until.h"

#include <thread>

namespace lacewingferry::processes {
namespace {

constexpr std::chrono::milliseconds kPollInterval{50};

}  // namespace

bool PollUntil(std::chrono::milliseconds limit,
               const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace lacewingferry::processes
