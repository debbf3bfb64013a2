#include "standin/platform/platform_caller.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace lacewingferry::standin {
namespace {

using std::chrono::steady_clock;

constexpr char kValue[] = "v";

/** The refusals that promise that nothing ran. */
constexpr std::array<const char*, 6> kPromises = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

bool StartsWith(const std::string& text, const std::string& start) {
  return text.compare(0, start.size(), start) == 0;
}

StoreFate FateOf(const std::string& answer) {
  if (StartsWith(answer, "DONE")) return StoreFate::kAcknowledged;
  for (const char* code : kPromises) {
    if (StartsWith(answer, std::string("ERROR ") + code)) {
      return StoreFate::kNotRun;
    }
  }
  return StoreFate::kUnknown;
}

}  // namespace

PlatformCaller::PlatformCaller(std::string caller_name,
                               std::function<Endpoint()> choose_proxy)
    : name(std::move(caller_name)), next_proxy(std::move(choose_proxy)) {}

void PlatformCaller::Step() {
  if (!this->session && !this->OpenSession()) return;
  const std::string item = this->name + "-" + std::to_string(++this->steps);
  const StoreFate fate = this->Store(item);
  this->record.stores.push_back({item, fate, steady_clock::now()});
  if (fate == StoreFate::kAcknowledged) this->ReadBack(item);
}

/** A session that is refused, or a proxy that is gone, leaves the caller
 * without one until its next step. */
bool PlatformCaller::OpenSession() {
  try {
    this->session = std::make_unique<LineClient>(this->next_proxy(), "session");
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

StoreFate PlatformCaller::Store(const std::string& item) {
  const std::string answer = this->session->Ask("STORE " + item + " " + kValue);
  if (answer.empty()) this->session.reset();
  return FateOf(answer);
}

void PlatformCaller::ReadBack(const std::string& item) {
  const std::string answer = this->session->Ask("LOOKUP " + item);
  if (answer.empty()) this->session.reset();
  if (answer.find("DONE") == std::string::npos) {
    ++this->record.unanswered_reads;
    return;
  }
  ++this->record.reads;
  const std::string row = std::string("ROW ") + kValue + "|";
  if (!StartsWith(answer, row)) ++this->record.missed_own_stores;
}

}  // namespace lacewingferry::standin
