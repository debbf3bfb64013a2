#include "lacewingferry/decisions/choice/member_time.h"

#include <utility>

namespace lacewingferry {

ReplyHook WithMemberTime(
    std::chrono::steady_clock::time_point began,
    std::function<std::chrono::steady_clock::time_point()> present,
    ReplyHook reply) {
  return [began, present = std::move(present),
          reply = std::move(reply)](const Outcome& outcome) {
    const auto* answer = std::get_if<Answered>(&outcome);
    if (answer == nullptr) {
      reply(outcome);
      return;
    }
    Answered told = *answer;
    told.member_time = present() - began;
    reply(told);
  };
}

}  // namespace lacewingferry
