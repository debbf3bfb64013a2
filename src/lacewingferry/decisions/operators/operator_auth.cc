#include "lacewingferry/decisions/operators/operator_auth.h"

#include <iterator>
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
  this->nonces.emplace(request.nonce, request.signed_at);
  return AuthVerdict::kGranted;
}

void OperatorAuth::ForgetOldNonces(std::chrono::system_clock::time_point now) {
  for (auto i = this->nonces.begin(); i != this->nonces.end();) {
    const bool old = i->second < now - kMostClockDifference;
    i = old ? this->nonces.erase(i) : std::next(i);
  }
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
