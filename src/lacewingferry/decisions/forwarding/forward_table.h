#ifndef LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_
#define LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_

// Defines ForwardTable, the requests that this proxy forwarded to other
// proxies and that have no reply yet.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/job.h"
#include "lacewingferry/core/messages/forward_messages.h"

namespace lacewingferry {

/** A request that was forwarded to the proxy that owns a connection to its
 * member. */
struct ForwardedJob {
  Job job;
  NodeId owner;
  MemberId member;
  /** The message as sent; it is resent until a reply arrives. */
  ForwardRequest message;
  std::chrono::steady_clock::time_point first_sent;
  std::chrono::steady_clock::time_point next_resend;
};

/** A message to resend now. */
struct ForwardResend {
  NodeId owner;
  ForwardRequest message;
};

/** Matches each reply to its forwarded request. A late or duplicate reply
 * matches none. */
class ForwardTable {
 public:
  /** Adds a request and returns its message with forward_id filled in. */
  ForwardRequest Add(std::chrono::steady_clock::time_point now,
                     ForwardedJob job);

  /** Removes and returns the request that a reply from owner belongs to; none
   * if the reply is late or a duplicate. */
  std::optional<ForwardedJob> Take(std::uint64_t forward_id,
                                   const NodeId& owner);

  /** Removes and returns the requests whose deadline has passed. */
  std::vector<ForwardedJob> TakeExpired(
      std::chrono::steady_clock::time_point now);

  /** Returns the messages to resend now, and schedules the next resend of
   * each. The time since the first sending doubles with each resend. */
  std::vector<ForwardResend> DueResends(
      std::chrono::steady_clock::time_point now);

  /** Removes and returns the requests that wait for a reply from owner. */
  std::vector<ForwardedJob> TakeOwnedBy(const NodeId& owner);

  /** The proxies from which replies are outstanding. */
  std::vector<NodeId> Owners() const;

  /** The earliest deadline or resend; none if the table is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextWakeup() const;

  std::size_t Size() const { return this->jobs.size(); }

  /** Sets the first forward_id; call before the first Add. The value must
   * differ between runs of a process: replies and ForwardInbox identify a
   * request by its forward_id and the proxy that sent it. */
  void SetFirstId(std::uint64_t first) { this->next_id = first; }

 private:
  template <typename Predicate>
  std::vector<ForwardedJob> TakeIf(Predicate predicate);

  std::uint64_t next_id = 1;
  std::map<std::uint64_t, ForwardedJob> jobs;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_FORWARDING_FORWARD_TABLE_H_
