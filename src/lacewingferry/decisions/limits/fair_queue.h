#ifndef LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_

// Defines FairQueue, waiting requests that are served in turn by customer and
// by session.

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
 * Customers take turns. Of a customer's sessions the one that was served
 * longest ago goes first, also if it had nothing waiting since, and the
 * requests of a session go by their deadline. A customer that sends much
 * therefore delays itself and not the others, and none of its sessions is
 * refused again and again.
 */
class FairQueue {
 public:
  void Push(Job job);

  /** Takes the next job; none if the queue is empty. */
  std::optional<Job> Pop();

  /** Takes the latest job of the customer that has the most; none if the
   * queue is empty. */
  std::optional<Job> TakeFromLongest();

  /** How many waiting jobs are served before a new one at the most. */
  std::size_t CountAhead(const Job& job) const;

  /** How many jobs a customer has waiting. */
  std::size_t CountOf(const CustomerId& customer) const;

  /** Takes all jobs whose deadline has passed. */
  std::vector<Job> TakeExpired(std::chrono::steady_clock::time_point now);

  /** Takes all jobs. */
  std::vector<Job> TakeAll();

  /** The earliest deadline; none if the queue is empty. */
  std::optional<std::chrono::steady_clock::time_point> NextDeadline() const;

  std::size_t Size() const { return this->deadlines.size(); }

 private:
  struct SessionQueue {
    SessionId id;
    std::multimap<std::chrono::steady_clock::time_point, Job> jobs;
    /** The turn at which the session was served last; 0 for never. */
    std::uint64_t served_at = 0;
  };
  struct CustomerQueue {
    CustomerId id;
    std::size_t size = 0;
    /** In the order of served_at. */
    std::list<SessionQueue> sessions;
  };

  std::uint64_t ServedAt(const SessionId& session) const;
  void NoteServed(const SessionId& session);

  const CustomerQueue* FindCustomer(const CustomerId& customer) const;
  template <typename Predicate>
  std::vector<Job> TakeIf(Predicate predicate);

  /** The customer whose turn is next stands first. */
  std::list<CustomerQueue> customers;
  std::uint64_t turn = 0;
  std::unordered_map<SessionId, std::uint64_t> served;
  std::multiset<std::chrono::steady_clock::time_point> deadlines;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_FAIR_QUEUE_H_
