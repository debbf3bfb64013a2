#ifndef LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_

// Defines FairQueue, a queue of requests that customers and their sessions
// share by turns.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "lacewingferry/core/job.h"

namespace lacewingferry {

/**
 * Customers take turns. Among a customer's sessions, the one that was served
 * longest ago goes first, even if it had no request waiting since. The requests
 * of a session are served by deadline. A customer that sends many requests
 * therefore delays only itself, and none of its sessions is refused repeatedly.
 */
class FairQueue {
 public:
  void Push(Job job);

  /** Removes and returns the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** Removes and returns the job with the latest deadline in the longest
   * session queue of the customer with the most jobs; none if the queue is
   * empty. */
  std::optional<Job> TakeFromLargestCustomer();

  /** The maximum number of waiting jobs that are served before a new one. */
  std::size_t CountAhead(const Job& job) const;

  /** The number of jobs that a customer has waiting. */
  std::size_t CountForCustomer(const CustomerId& customer) const;

  /** Removes and returns all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Removes and returns all jobs. */
  std::vector<Job> TakeAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->deadlines.size(); }

 private:
  struct SessionQueue {
    SessionId id;
    std::multimap<std::chrono::steady_clock::time_point, Job> jobs;
    /** The turn in which the session was last served; 0 for never. */
    std::uint64_t last_served_turn = 0;
  };
  struct CustomerQueue {
    CustomerId id;
    std::size_t size = 0;
    /** Ordered by last_served_turn. */
    std::list<SessionQueue> sessions;
  };

  std::uint64_t LastServedTurn(const SessionId& session) const;
  void RecordServed(const SessionId& session);

  const CustomerQueue* FindCustomer(const CustomerId& customer) const;
  template <typename Predicate>
  std::vector<Job> RemoveIf(Predicate predicate);

  /** Ordered by turn; the front is next. */
  std::list<CustomerQueue> customers;
  std::uint64_t turn = 0;
  std::unordered_map<SessionId, std::uint64_t> last_turns;
  std::multiset<std::chrono::steady_clock::time_point> deadlines;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_
