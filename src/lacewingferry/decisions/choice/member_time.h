#ifndef LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_
#define LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_

// Defines WithMemberTime, which lets an answer tell how long the member took.

#include <chrono>
#include <functional>

#include "lacewingferry/core/job.h"

namespace lacewingferry {

/** A reply hook that fills in Answered::member_time, counted from a time on,
 * before it passes an outcome on. present tells the time of the outcome. */
ReplyHook WithMemberTime(
    std::chrono::steady_clock::time_point began,
    std::function<std::chrono::steady_clock::time_point()> present,
    ReplyHook reply);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_CHOICE_MEMBER_TIME_H_
