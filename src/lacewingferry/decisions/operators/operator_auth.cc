#include "lacewingferry/decisions/operators/operator_auth.h"

#include <utility>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

OperatorAuth::OperatorAuth(VerifyHook verify_hook,
                           std::chrono::system_clock::time_point start)
    : verify(std::move(verify_hook)), started(start) {}

AuthVerdict OperatorAuth::Check(const SignedRequest& request,
                                std::chrono::system_clock::time_point now) {
  if (!this->verify(SignedText(request), request.signature)) {
    return AuthVerdict::kWrongSignature;
  }
  const bool fresh = request.signed_at >= now - kMostClockDifference &&
                     request.signed_at <= now + kMostClockDifference &&
                     request.signed_at >= this->started;
  if (!fresh) {
    return AuthVerdict::kNotFresh;
  }
  this->ForgetOldNonces(now);
  if (this->nonces.count(request.nonce) != 0) {
    return AuthVerdict::kReplayed;
  }
  if (this->nonces.size() >= kMostNonces) {
    return AuthVerdict::kBusy;
  }
  this->nonces.insert(request.nonce);
  this->by_time.emplace(request.signed_at, request.nonce);
  return AuthVerdict::kGranted;
}

void OperatorAuth::ForgetOldNonces(std::chrono::system_clock::time_point now) {
  const auto kept = this->by_time.lower_bound(now - kMostClockDifference);
  for (auto i = this->by_time.begin(); i != kept; ++i) {
    this->nonces.erase(i->second);
  }
  this->by_time.erase(this->by_time.begin(), kept);
}

const char* AuthVerdictName(AuthVerdict verdict) {
  switch (verdict) {
    case AuthVerdict::kGranted:
      return "granted";
    case AuthVerdict::kWrongSignature:
      return "wrong_signature";
    case AuthVerdict::kNotFresh:
      return "not_fresh";
    case AuthVerdict::kReplayed:
      return "replayed";
    case AuthVerdict::kBusy:
      return "busy";
  }
  throw InternalError("verdict without a name");
}

}  // namespace lacewingferry
