#include "lacewingferry/adapters/log4cxx/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace lacewingferry {
namespace {

/** What a pipe takes at once; also the least room at which it counts as
 * writable. */
constexpr std::size_t kMostLineBytes = 4096;

}  // namespace

BoundedOutput::BoundedOutput(int output_descriptor, OutputLimits output_limits,
                             Clock output_clock)
    : descriptor(output_descriptor),
      limits(output_limits),
      clock(std::move(output_clock)),
      tokens(output_limits.burst),
      refilled(this->clock()) {}

std::uint64_t BoundedOutput::LeftOut() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->left_out;
}

bool BoundedOutput::TakeToken() {
  const auto now = this->clock();
  const std::chrono::duration<double> passed = now - this->refilled;
  this->refilled = now;
  this->tokens = std::min<double>(
      this->limits.burst,
      this->tokens + passed.count() * this->limits.lines_per_second);
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

bool BoundedOutput::ReaderKeepsUp() const {
  pollfd poller{this->descriptor, POLLOUT, 0};
  return ::poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0;
}

void BoundedOutput::Write(const std::string& line, bool urgent) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool allowed = this->TakeToken() || urgent;
  if (!allowed || !this->ReaderKeepsUp()) {
    ++this->left_out;
    ++this->untold;
    return;
  }
  std::string bytes = line;
  if (this->untold > 0 && !bytes.empty() && bytes.back() == '}') {
    bytes.pop_back();
    bytes += ",\"lines_left_out\":" + std::to_string(this->untold) + "}";
    this->untold = 0;
  }
  bytes.resize(std::min(bytes.size(), kMostLineBytes - 1));
  bytes += '\n';
  if (::write(this->descriptor, bytes.data(), bytes.size()) < 0) {
    ++this->left_out;
    ++this->untold;
  }
}

}  // namespace lacewingferry
