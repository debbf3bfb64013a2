#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_CUSTOMER_LIMITS_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_CUSTOMER_LIMITS_H_

// Defines CustomerLimits, which holds back or refuses the operations of
// customers that have used up their rate limit.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/gauge.h"
#include "lacewingferry/decisions/gateway/statement_run.h"
#include "lacewingferry/decisions/rate_limit/permit_holder.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Why an operation is refused, and when to try again. */
struct LimitRefusal {
  /** When the next operation of the customer is expected to be admitted. */
  std::chrono::milliseconds retry_after{0};
  /** Whether the limit isn't known to be used up, but control doesn't answer
   * this proxy. Others may still serve. */
  bool control_silent = false;
};

/** What CustomerLimits does. */
struct CustomerLimitsHooks {
  /** Sends a request to the control leader; the message may be lost. */
  std::function<void(const PermitRequest&)> request;
  /** The operation may start. */
  std::function<void(std::chrono::steady_clock::time_point, const RunPtr&)>
      admitted;
  std::function<void(std::chrono::steady_clock::time_point, const RunPtr&,
                     const LimitRefusal&)>
      refused;
  EventPort events;
};

/**
 * Admits the first statement of an operation with a permit of its customer.
 * Without a permit the statement waits while one is expected soon, or while
 * control hasn't answered yet. If control said that the limit is used up, or
 * doesn't answer at all, the statement is refused at once; each refusal in a
 * row names a later time, so that clients don't come back together.
 */
class CustomerLimits {
 public:
  explicit CustomerLimits(CustomerLimitsHooks limits_hooks)
      : hooks(std::move(limits_hooks)) {}

  /** Sets the customers and their limits. */
  void SetCustomers(std::chrono::steady_clock::time_point now,
                    const std::vector<Customer>& customers);

  /** Decides on an operation by its first statement. One of the hooks follows,
   * now or later, unless the client is cancelled. */
  void Submit(std::chrono::steady_clock::time_point now, const RunPtr& run);

  /** Whether operations of a customer have to be refused here because control
   * doesn't answer this proxy. */
  bool LacksControl(std::chrono::steady_clock::time_point now,
                    const CustomerId& customer) const;

  /** Takes back the permit of an operation that didn't run. */
  void GiveBack(const StatementRun& run);

  /** Drops a client's waiting statement. */
  void CancelClient(ClientId client);

  /** Handles control's answer to a request. */
  void OnGrant(std::chrono::steady_clock::time_point now,
               const PermitGrant& grant);

  /** Refuses statements that waited too long, and asks for permits. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** When OnTick is to be called next. */
  std::chrono::steady_clock::time_point NextWakeup(
      std::chrono::steady_clock::time_point now) const;

  /** Appends, for the customers with the most traffic here, what was admitted
   * and refused. */
  void AddGauges(std::vector<Gauge>* gauges) const;

 private:
  /** What happened to a customer's operations at this proxy. */
  struct Counts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /** Refusals since the newest answer of control. */
    std::int64_t refused_in_a_row = 0;
    std::uint64_t refused_unreported = 0;
    std::optional<std::chrono::steady_clock::time_point> reported_at;
  };

  bool TryAdmit(std::chrono::steady_clock::time_point now, const RunPtr& run);
  void AdmitWaiting(std::chrono::steady_clock::time_point now);
  void Refuse(std::chrono::steady_clock::time_point now, const RunPtr& run);
  std::chrono::milliseconds RetryAfter(
      std::chrono::steady_clock::time_point now, const RunPtr& run) const;
  bool IsHopeless(std::chrono::steady_clock::time_point now,
                  const RunPtr& run) const;
  void SetWaiting(const CustomerId& customer);
  void RequestIfDue(std::chrono::steady_clock::time_point now);
  void Report(std::chrono::steady_clock::time_point now,
              const CustomerId& customer, Counts* counts);

  CustomerLimitsHooks hooks;
  PermitHolder permits;
  /** Statements that wait for a permit, in the order of ServedBefore. */
  std::map<CustomerId, std::vector<RunPtr>> waiting;
  std::map<CustomerId, Counts> counts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_CUSTOMER_LIMITS_H_
