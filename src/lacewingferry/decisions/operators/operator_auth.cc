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
  const bool fresh = request.signed_at >= now - kMaxClockSkew &&
                     request.signed_at <= now + kMaxClockSkew &&
                     request.signed_at >= this->started;
  if (!fresh) {
    return AuthVerdict::kNotFresh;
  }
  this->EvictExpiredNonces(now);
  if (this->nonces.count(request.nonce) != 0) {
    return AuthVerdict::kReplayed;
  }
  if (this->nonces.size() >= kMaxNonces) {
    return AuthVerdict::kBusy;
  }
  this->nonces.insert(request.nonce);
  this->nonces_by_time.emplace(request.signed_at, request.nonce);
  return AuthVerdict::kGranted;
}

void OperatorAuth::EvictExpiredNonces(
    std::chrono::system_clock::time_point now) {
  const auto first_kept = this->nonces_by_time.lower_bound(now - kMaxClockSkew);
  for (auto it = this->nonces_by_time.begin(); it != first_kept; ++it) {
    this->nonces.erase(it->second);
  }
  this->nonces_by_time.erase(this->nonces_by_time.begin(), first_kept);
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
  throw InternalError("AuthVerdict value without a name");
}

}  // namespace lacewingferry
