#ifndef LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_
#define LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_

// Defines OperatorAuth, which decides whether an operator's request is
// genuine and fresh.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "lacewingferry/core/signed_request.h"

namespace lacewingferry {

/** How far an operator's clock may be from a control process's clock. */
constexpr std::chrono::seconds kMostClockDifference{30};

/** The nonces that are remembered at one time. */
constexpr std::size_t kMostNonces = 16384;

/** Whether a request is let through. */
enum class AuthVerdict : std::uint8_t {
  kGranted,
  kWrongSignature,
  /** Signed too long ago, in the future or before this process started. */
  kNotFresh,
  kReplayed,
  /** More requests within the window than can be remembered. */
  kBusy,
};

/** Checks signatures and refuses replays. A request is let through once within
 * the window of kMostClockDifference on either side. Used on one thread. */
class OperatorAuth {
 public:
  /** Whether a signature is that of a text. */
  using VerifyHook = std::function<bool(const std::string& text,
                                        const std::string& signature)>;

  /** Requests signed before started are refused, since the nonces of an
   * earlier run aren't known. */
  OperatorAuth(VerifyHook verify,
               std::chrono::system_clock::time_point started);

  /** Decides on a request; now is the wall time. */
  AuthVerdict Check(const SignedRequest& request,
                    std::chrono::system_clock::time_point now);

 private:
  void ForgetOldNonces(std::chrono::system_clock::time_point now);

  VerifyHook verify;
  std::chrono::system_clock::time_point started;
  /** The nonces of the window. */
  std::set<std::string> nonces;
  /** The same nonces, by the time at which their requests were signed. */
  std::multimap<std::chrono::system_clock::time_point, std::string> by_time;
};

/** The name of a verdict in answers, for example replayed. */
const char* AuthVerdictName(AuthVerdict verdict);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OPERATORS_OPERATOR_AUTH_H_
