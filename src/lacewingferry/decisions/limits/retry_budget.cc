#include "lacewingferry/decisions/limits/retry_budget.h"

#include <algorithm>

namespace lacewingferry {

void RetryBudget::OnRequest() {
  this->parts = std::min(this->parts + 1, kMaxParts);
}

bool RetryBudget::Take() {
  if (this->parts < kRequestsPerRetry) return false;
  this->parts -= kRequestsPerRetry;
  return true;
}

}  // namespace lacewingferry
