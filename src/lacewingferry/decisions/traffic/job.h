#ifndef LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_H_
#define LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_H_

// Defines Job, a request that waits for or runs on a connection of a member.

#include <chrono>
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
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_TRAFFIC_JOB_H_
