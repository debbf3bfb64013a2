#ifndef LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_
#define LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_

// Defines ForwardTable, the requests that other proxies run for this one.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/job.h"
#include "lacewingferry/core/messages/forward_messages.h"

namespace lacewingferry {

/** A request that was sent to the owner of a connection. */
struct ForwardedJob {
  Job job;
  NodeId owner;
  MemberId member;
  /** What was sent, to be sent again while no reply comes. */
  ForwardRequest message;
  std::chrono::steady_clock::time_point first_sent;
  std::chrono::steady_clock::time_point next_resend;
};

/** A message that is due to be sent again. */
struct ForwardResend {
  NodeId owner;
  ForwardRequest message;
};

/** Matches each reply to its request; a reply that comes late or twice finds
 * none. */
class ForwardTable {
 public:
  /** Adds a request and returns its message with its number filled in. Numbers
   * start at a value that differs between runs of a process. */
  ForwardRequest Add(std::chrono::steady_clock::time_point now,
                     ForwardedJob job);

  /** Takes the request of a reply; none for a late one. */
  std::optional<ForwardedJob> Take(std::uint64_t forward_id,
                                   const NodeId& owner);

  /** Takes the requests whose deadline passed. */
  std::vector<ForwardedJob> TakeExpired(
      std::chrono::steady_clock::time_point now);

  /** The requests to send again now; the pauses between the sendings of one
   * request double. */
  std::vector<ForwardResend> Resends(std::chrono::steady_clock::time_point now);

  /** Takes the requests that wait for a proxy that is gone. */
  std::vector<ForwardedJob> TakeOwnedBy(const NodeId& owner);

  /** The proxies that requests wait for. */
  std::vector<NodeId> Owners() const;

  /** The earliest deadline or resend; none if nothing waits. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->jobs.size(); }

  /** Sets the first number; call before the first Add. */
  void StartAt(std::uint64_t first) { this->next_id = first; }

 private:
  template <typename Predicate>
  std::vector<ForwardedJob> TakeIf(Predicate predicate);

  std::uint64_t next_id = 1;
  std::map<std::uint64_t, ForwardedJob> jobs;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_
