#include "tests/support/fake_control.h"

namespace lacewingferry {

std::unique_ptr<OperatorApi> FakeControl::MakeApi(const std::string& address) {
  OperatorApiHooks hooks;
  hooks.leading = [this] { return this->leading; };
  hooks.leader = [this] { return this->leader; };
  hooks.apply = [this](const NoteSubmission& submission, const auto& done) {
    const NoteAnswer answer = this->state.Apply(submission, ++this->index);
    done(this->loses_answers ? std::optional<NoteAnswer>() : answer);
  };
  hooks.configuration = [this]() -> const Configuration& {
    return this->state.Current();
  };
  hooks.in_force = [this] {
    return this->tracker.Summarize(this->state.Current().in_force);
  };
  hooks.timeline = [this] { return this->timeline; };
  hooks.wall_now = [this] { return this->now; };
  hooks.events.record = [this](const Event& event) {
    this->events.push_back(event);
  };
  return std::make_unique<OperatorApi>(hooks, kOperatorSecret, address);
}

}  // namespace lacewingferry
