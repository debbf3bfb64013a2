#ifndef LACEWINGFERRY_CORE_JOB_H_
#define LACEWINGFERRY_CORE_JOB_H_

// Defines Job, a request that waits for or runs on a connection of a member.

#include <chrono>
#include <cstdint>
#include <functional>

#include "lacewingferry/core/outcome.h"
#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Receives the one outcome of a request. */
using ReplyHook = std::function<void(const Outcome&)>;

/** A request with its deadline and where its outcome goes. */
struct Job {
  StatementRequest request;
  std::chrono::steady_clock::time_point deadline;
  /** When this proxy took the request; ages are told as of then. */
  std::chrono::steady_clock::time_point received;
  ReplyHook reply;
  /** The term that the request was routed by; 0 for any. An owner that knows
   * another term doesn't run it. */
  std::uint64_t term = 0;
  /** Whether the caller no longer waits; empty for never. */
  std::function<bool()> caller_gone{};
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_JOB_H_
