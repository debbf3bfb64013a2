#ifndef LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_

// Defines WithMemberTime, which adds to an answer how long the member took.

#include <chrono>
#include <functional>

#include "lacewingferry/core/job.h"

namespace lacewingferry {

/** A reply hook that sets Answered::member_time to the time since began, then
 * passes the outcome on. clock returns the time of the outcome. */
ReplyHook WithMemberTime(
    std::chrono::steady_clock::time_point began,
    std::function<std::chrono::steady_clock::time_point()> clock,
    ReplyHook reply);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_
