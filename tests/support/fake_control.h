#ifndef LACEWINGFERRY_TESTS_SUPPORT_FAKE_CONTROL_H_
#define LACEWINGFERRY_TESTS_SUPPORT_FAKE_CONTROL_H_

// Defines FakeControl, a control process of one voter behind the operators'
// interface.

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "lacewingferry/app/operator_api.h"
#include "lacewingferry/decisions/configuration/configuration_state.h"

namespace lacewingferry {

/** The secret of the tests' operators. */
constexpr char kOperatorSecret[] = "0123456789abcdef";

/** Commits each note at once. Times are virtual. */
struct FakeControl {
  ConfigurationState state;
  InForceTracker tracker;
  std::uint64_t index = 0;
  bool leading = true;
  std::string leader;
  /** Whether answers to notes are lost after the commit. */
  bool loses_answers = false;
  std::vector<TimelineEntry> timeline;
  std::vector<Event> events;
  std::chrono::system_clock::time_point now{std::chrono::hours(500000)};

  /** An interface at the given address; the fake has to outlive it. */
  std::unique_ptr<OperatorApi> MakeApi(const std::string& address);
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_TESTS_SUPPORT_FAKE_CONTROL_H_
