#ifndef LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_HOLDER_H_
#define LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_HOLDER_H_

// Defines PermitHolder, a proxy's permits for the operations of customers with
// a rate limit.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/clock_drift.h"
#include "lacewingferry/core/messages/permit_messages.h"
#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/rate_limit/arrival_rate.h"

namespace lacewingferry {

/**
 * Holds about as many permits for each customer as are needed until control has
 * a leader again after it lost one, and asks for more before they run out. What
 * isn't needed goes back. Permits end by the proxy's own clock before the
 * control leader takes them for unused, and with the run of the proxy.
 */
class PermitHolder {
 public:
  /** Sets the customers and their limits. */
  void SetCustomers(const std::vector<Customer>& customers);

  /** Whether the customer has a rate limit. */
  bool IsLimited(const CustomerId& customer) const {
    return this->customers.count(customer) > 0;
  }

  /** Notes that an operation arrived. */
  void OnArrival(std::chrono::steady_clock::time_point now,
                 const CustomerId& customer);

  /** Uses a permit up; returns the account that it was taken from, or none if
   * there is no permit. */
  std::optional<std::uint64_t> TryTake(
      std::chrono::steady_clock::time_point now, const CustomerId& customer);

  /** Takes back a permit of an account whose operation didn't run. */
  void GiveBack(const CustomerId& customer, std::uint64_t account);

  /** The permits that may be used now. */
  std::uint64_t Held(std::chrono::steady_clock::time_point now,
                     const CustomerId& customer) const;

  /** How many operations of a customer wait for a permit. */
  void SetWaiting(const CustomerId& customer, std::size_t operations);

  /** When the next permit is expected, and the time between two; none unless
   * control said that the limit is used up. */
  struct Scarcity {
    std::chrono::steady_clock::time_point next_permit;
    std::chrono::milliseconds interval{0};
  };
  std::optional<Scarcity> ScarcityOf(std::chrono::steady_clock::time_point now,
                                     const CustomerId& customer) const;

  /** Whether control has left requests unanswered for a while. Other proxies
   * may still reach it. */
  bool ControlIsSilent(std::chrono::steady_clock::time_point now) const;

  /** A request that is due; none otherwise. The run of the proxy is to be
   * filled in. */
  std::optional<PermitRequest> MakeRequest(
      std::chrono::steady_clock::time_point now);

  /** Handles the answer to a request. */
  void OnGrant(std::chrono::steady_clock::time_point now,
               const PermitGrant& grant);

  /** When MakeRequest is to be called next. */
  std::chrono::steady_clock::time_point NextRequest(
      std::chrono::steady_clock::time_point now) const;

 private:
  struct Account {
    /** 0 until control opened it. */
    std::uint64_t number = 0;
    std::uint64_t granted = 0;
    std::uint64_t used = 0;
    std::uint64_t returned = 0;
    std::chrono::steady_clock::time_point valid_until;

    std::uint64_t Held() const {
      return this->granted - this->used - this->returned;
    }
    bool MayUse(std::chrono::steady_clock::time_point now) const {
      return now<this->valid_until&& this->Held()> 0;
    }
  };
  struct Entry {
    /** The name of the account within this run. */
    std::uint64_t opening = 0;
    Account current;
    /** The account of an earlier control leader; its permits may be used until
     * they end. */
    Account former;
    ArrivalRate arrivals;
    std::size_t waiting = 0;
    /** When a request last named the customer, and what it said of
     * `current`. */
    std::chrono::steady_clock::time_point last_request;
    std::uint64_t reported_used = 0;
    std::uint64_t reported_returned = 0;
    std::uint64_t reported_wanted = 0;
    std::optional<Scarcity> scarcity;
  };

  std::uint64_t Wanted(std::chrono::steady_clock::time_point now,
                       const Entry& entry) const;
  bool RunsLow(std::chrono::steady_clock::time_point now,
               const Entry& entry) const;
  void ReturnUnneeded(std::chrono::steady_clock::time_point now,
                      Entry* entry) const;
  bool HasNews(std::chrono::steady_clock::time_point now,
               const Entry& entry) const;
  std::chrono::steady_clock::time_point AnswerDeadline() const;
  std::chrono::milliseconds RequestInterval(
      std::chrono::steady_clock::time_point now, const Entry& entry) const;

  std::map<CustomerId, Entry> customers;
  std::uint64_t last_opening = 0;
  std::uint64_t sequence = 0;
  /** Requests since the last answer. */
  std::uint32_t unanswered = 0;
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> sent;
  std::chrono::steady_clock::time_point last_request;
  std::chrono::steady_clock::time_point last_answer;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_HOLDER_H_
