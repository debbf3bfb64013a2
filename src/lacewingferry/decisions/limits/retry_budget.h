#ifndef LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_
#define LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_

// Defines RetryBudget, which keeps retries a fraction of the requests.

#include <cstdint>

namespace lacewingferry {

/** Each request earns a part of a retry, up to a reserve. Under overload or a
 * lasting fault the reserve is soon used up, and retries can't multiply. */
class RetryBudget {
 public:
  /** Takes that a new request came. */
  void OnRequest();

  /** Uses up one retry; returns false if none is left. */
  bool Take();

 private:
  /** Requests that earn one retry. */
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  /** The reserve, in parts of a retry. */
  static constexpr std::uint32_t kMostParts = 20 * kRequestsPerRetry;

  std::uint32_t parts = kMostParts;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_LIMITS_RETRY_BUDGET_H_
