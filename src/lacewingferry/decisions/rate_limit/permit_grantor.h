#ifndef LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_GRANTOR_H_
#define LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_GRANTOR_H_

// Defines PermitGrantor, with which the control leader grants proxies permits
// for the operations of customers with a rate limit.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lacewingferry/core/gauge.h"
#include "lacewingferry/core/messages/permit_messages.h"
#include "lacewingferry/core/service_configuration.h"
#include "lacewingferry/decisions/rate_limit/limit_tolerance.h"

namespace lacewingferry {

/** The settings of a PermitGrantor. */
struct PermitGrantorSettings {
  LimitTolerance tolerance;
  /** How long a proxy may use its permits after the request that was answered
   * last. Long enough to survive a change of the control leader. */
  std::chrono::milliseconds duration{1800};
};

/** What a PermitGrantor reports. */
struct PermitGrantorHooks {
  /** Permits of a proxy that wasn't heard of any more count as used. */
  std::function<void(const NodeId&, std::uint64_t permits)> lost;
  /** The customer wants more than its limit allows. */
  std::function<void(const CustomerId&, const RateLimit&,
                     std::uint64_t permits_out)>
      limited;
};

/**
 * Keeps a token bucket for each customer. A proxy starts an operation only with
 * a permit out of it.
 *
 * The bucket is refilled only while its content and the permits that are out
 * stay below its capacity. So no window sees more operations than the capacity
 * and what is refilled meanwhile, whichever proxies are cut off, suspended,
 * ended or started again. The permits of an ended proxy stay out until it could
 * not use them any more.
 *
 * Permits are granted ahead of demand only up to a part of the capacity. The
 * rest is for operations that already wait, so that permits which lie unused at
 * some proxies don't starve the others.
 *
 * A new leader doesn't know what is out. For as long as permits of its
 * predecessor may be used, it lets only a few be out on top.
 */
class PermitGrantor {
 public:
  PermitGrantor(PermitGrantorSettings grantor_settings,
                PermitGrantorHooks grantor_hooks);

  /** Called when this replica becomes the control leader, of the given term, or
   * stops being it. Forgets all accounts. */
  void OnLeadership(std::chrono::steady_clock::time_point now, bool leads,
                    std::uint64_t term);

  /** Sets the customers and their limits. */
  void SetCustomers(std::chrono::steady_clock::time_point now,
                    const std::vector<Customer>& customers);

  /** Returns the answer to a request; nullopt if this replica isn't the
   * leader. */
  std::optional<PermitGrant> OnRequest(
      std::chrono::steady_clock::time_point now, const NodeId& from,
      const PermitRequest& request);

  /** Closes the accounts of proxies that weren't heard of any more. */
  void OnTick(std::chrono::steady_clock::time_point now);

  /** Appends the permits that are out and free, by customer. */
  void AddGauges(std::chrono::steady_clock::time_point now,
                 std::vector<Gauge>* gauges) const;

 private:
  struct Account {
    std::uint64_t number = 0;
    /** The run of the proxy, and its name for the account. */
    std::uint64_t incarnation = 0;
    std::uint64_t opening = 0;
    std::uint64_t granted = 0;
    std::uint64_t used = 0;
    std::uint64_t returned = 0;
    /** Whether operations waited at the last request and got no permit. */
    bool starves = false;
    /** From then on the proxy doesn't use its permits any more. */
    std::chrono::steady_clock::time_point expires_at;

    std::uint64_t Held() const {
      return this->granted - this->used - this->returned;
    }
  };
  /** Permits of an account that was closed while they could still be used. */
  struct Orphans {
    std::uint64_t permits = 0;
    std::chrono::steady_clock::time_point expire_at;
  };
  struct Bucket {
    RateLimit limit;
    BucketSize size;
    /** Permits that may be granted. */
    double free = 0;
    /** Permits that proxies may still use. */
    std::uint64_t out = 0;
    std::chrono::steady_clock::time_point refilled_at;
    /** Until then permits that this bucket doesn't know of may be used. */
    std::chrono::steady_clock::time_point overlap_until;
    std::map<NodeId, Account> accounts;
    std::vector<Orphans> orphans;
    std::optional<std::chrono::steady_clock::time_point> reported_limited_at;
  };

  static double Capacity(std::chrono::steady_clock::time_point now,
                         const Bucket& bucket);
  static void Refill(std::chrono::steady_clock::time_point now, Bucket* bucket);
  void StartEmpty(std::chrono::steady_clock::time_point now,
                  Bucket* bucket) const;
  Account& AccountFor(std::chrono::steady_clock::time_point now,
                      const NodeId& from, std::uint64_t incarnation,
                      const PermitUse& use, Bucket* bucket);
  PermitAccount Serve(std::chrono::steady_clock::time_point now,
                      const NodeId& from, std::uint64_t incarnation,
                      const PermitUse& use, Bucket* bucket);
  static std::uint64_t PermitsFor(std::chrono::steady_clock::time_point now,
                                  const Bucket& bucket, std::uint64_t held,
                                  const PermitUse& use);
  static void Settle(const PermitUse& use, Account* account, Bucket* bucket);
  static std::chrono::milliseconds NextPermit(const Bucket& bucket);
  void ReportLimited(std::chrono::steady_clock::time_point now,
                     const CustomerId& customer, Bucket* bucket);
  static void DropOrphans(std::chrono::steady_clock::time_point now,
                          Bucket* bucket);

  PermitGrantorSettings settings;
  PermitGrantorHooks hooks;
  bool leader = false;
  std::uint64_t leading_term = 0;
  std::uint64_t last_account = 0;
  std::chrono::steady_clock::time_point next_check;
  std::map<CustomerId, Bucket> buckets;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_RATE_LIMIT_PERMIT_GRANTOR_H_
