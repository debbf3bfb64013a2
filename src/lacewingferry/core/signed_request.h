#ifndef LACEWINGFERRY_CORE_SIGNED_REQUEST_H_
#define LACEWINGFERRY_CORE_SIGNED_REQUEST_H_

// Defines SignedRequest, an operator's request with what shows who sent it.

#include <chrono>
#include <string>

namespace lacewingferry {

/** What an operator's signature covers, and the signature. */
struct SignedRequest {
  /** The operator's name. */
  std::string operator_name;
  /** The address that the request was sent to, IP:PORT, so that it can't be
   * replayed to another process. */
  std::string host;
  std::string method;
  std::string path;
  std::string body;
  /** The operator's wall time. */
  std::chrono::system_clock::time_point signed_at;
  /** A random text, never used twice. */
  std::string nonce;
  /** The keyed digest of SignedText, as raw bytes. */
  std::string signature;
};

/** The text that the signature covers; different requests have different
 * texts. */
std::string SignedText(const SignedRequest& request);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SIGNED_REQUEST_H_
