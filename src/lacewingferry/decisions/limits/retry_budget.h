#ifndef LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_

// Defines RetryBudget, which limits retries to a fraction of the requests.

#include <cstdint>

namespace lacewingferry {

/** Each request earns a fraction of a retry, up to a reserve. Under overload or
 * a lasting fault the reserve is soon used up, so that retries can't multiply
 * the load. */
class RetryBudget {
 public:
  /** Records a new request. */
  void OnRequest();

  /** Consumes one retry; returns false if none is left. */
  bool Take();

 private:
  /** Requests that earn one retry. */
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  /** The reserve; one retry is kRequestsPerRetry parts. */
  static constexpr std::uint32_t kMaxParts = 20 * kRequestsPerRetry;

  std::uint32_t parts = kMaxParts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_
