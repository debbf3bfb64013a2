#include "lacewingferry/decisions/switchover/primary_watch.h"

namespace lacewingferry {

using std::chrono::steady_clock;

PrimaryWatch::PrimaryWatch(WatchSettings watch_settings)
    : settings(watch_settings) {}

void PrimaryWatch::OnOutcome(steady_clock::time_point asked,
                             MemberResponse response) {
  if (response == MemberResponse::kAnswered ||
      response == MemberResponse::kBusy) {
    this->Reset();
    return;
  }
  if (response == MemberResponse::kSlow) {
    const auto since = this->slow_since.value_or(asked);
    this->Reset();
    this->slow_since = since;
    return;
  }
  if (!this->first_failure) this->first_failure = asked;
  if (response != MemberResponse::kRefused) this->all_refused = false;
  ++this->failures;
}

void PrimaryWatch::Reset() {
  this->failures = 0;
  this->all_refused = true;
  this->first_failure.reset();
  this->slow_since.reset();
}

bool PrimaryWatch::Lost(steady_clock::time_point now) const {
  if (this->slow_since && now - *this->slow_since >= this->settings.slow_for) {
    return true;
  }
  if (!this->first_failure || this->failures < this->settings.failures) {
    return false;
  }
  const auto enough = this->all_refused ? this->settings.refused_for
                                        : this->settings.silent_for;
  return now - *this->first_failure >= enough;
}

}  // namespace lacewingferry
