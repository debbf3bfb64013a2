#ifndef LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_
#define LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_

// Defines OperatorAuth, which authenticates operators' requests and detects
// replays.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "lacewingferry/core/signed_request.h"

namespace lacewingferry {

/** The maximum difference between the clocks of an operator and of a control
 * process. */
constexpr std::chrono::seconds kMaxClockSkew{30};

/** The maximum number of nonces stored at a time. */
constexpr std::size_t kMaxNonces = 16384;

/** Whether a request is granted, or why it is refused. */
enum class AuthVerdict : std::uint8_t {
  kGranted,
  kWrongSignature,
  /** Signed too long ago, in the future, or before this process started. */
  kNotFresh,
  kReplayed,
  /** Too many requests within the window: kMaxNonces nonces are stored. */
  kBusy,
};

/** Checks signatures and refuses replays. A request is granted once, and only
 * if it was signed within kMaxClockSkew of the current time. Not thread-safe.
 */
class OperatorAuth {
 public:
  /** Returns whether the signature matches the text. */
  using VerifyHook = std::function<bool(const std::string& text,
                                        const std::string& signature)>;

  /** Requests signed before started are refused, since the nonces that an
   * earlier run of this process accepted aren't known. */
  OperatorAuth(VerifyHook verify,
               std::chrono::system_clock::time_point started);

  /** Checks a request and records its nonce if it is granted; now is the wall
   * time. */
  AuthVerdict Check(const SignedRequest& request,
                    std::chrono::system_clock::time_point now);

 private:
  void EvictExpiredNonces(std::chrono::system_clock::time_point now);

  VerifyHook verify;
  std::chrono::system_clock::time_point started;
  /** The nonces of the granted requests that are still fresh. */
  std::set<std::string> nonces;
  /** The same nonces, keyed by the time at which their requests were signed. */
  std::multimap<std::chrono::system_clock::time_point, std::string>
      nonces_by_time;
};

/** The name of a verdict in responses and events, for example replayed. */
const char* AuthVerdictName(AuthVerdict verdict);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_
