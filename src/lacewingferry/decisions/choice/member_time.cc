#include "lacewingferry/decisions/choice/member_time.h"

#include <utility>

namespace lacewingferry {

ReplyHook WithMemberTime(
    std::chrono::steady_clock::time_point began,
    std::function<std::chrono::steady_clock::time_point()> clock,
    ReplyHook reply) {
  return [began, clock = std::move(clock),
          reply = std::move(reply)](const Outcome& outcome) {
    const auto* answer = std::get_if<Answered>(&outcome);
    if (answer == nullptr) {
      reply(outcome);
      return;
    }
    Answered timed = *answer;
    timed.member_time = clock() - began;
    reply(timed);
  };
}

}  // namespace lacewingferry
