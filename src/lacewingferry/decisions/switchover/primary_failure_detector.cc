#include "lacewingferry/decisions/switchover/primary_failure_detector.h"

namespace lacewingferry {

using std::chrono::steady_clock;

PrimaryFailureDetector::PrimaryFailureDetector(
    FailureDetectorSettings detector_settings)
    : settings(detector_settings) {}

void PrimaryFailureDetector::OnResponse(steady_clock::time_point asked_at,
                                        MemberResponse response) {
  if (response == MemberResponse::kAnswered ||
      response == MemberResponse::kBusy) {
    this->Reset();
    return;
  }
  if (response == MemberResponse::kSlow) {
    const auto since = this->slow_since.value_or(asked_at);
    this->Reset();
    this->slow_since = since;
    return;
  }
  if (!this->first_failure) this->first_failure = asked_at;
  if (response != MemberResponse::kRefused) this->all_refused = false;
  ++this->failures;
}

void PrimaryFailureDetector::Reset() {
  this->failures = 0;
  this->all_refused = true;
  this->first_failure.reset();
  this->slow_since.reset();
}

bool PrimaryFailureDetector::Lost(steady_clock::time_point now) const {
  if (this->slow_since &&
      now - *this->slow_since >= this->settings.slow_timeout) {
    return true;
  }
  if (!this->first_failure || this->failures < this->settings.min_failures) {
    return false;
  }
  const auto timeout = this->all_refused ? this->settings.refused_timeout
                                         : this->settings.silent_timeout;
  return now - *this->first_failure >= timeout;
}

}  // namespace lacewingferry
