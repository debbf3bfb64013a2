#ifndef LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_SIGNATURE_H_
#define LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_SIGNATURE_H_

// Defines the headers that carry an operator's signature.

#include <chrono>
#include <optional>
#include <string>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/core/signed_request.h"

namespace lacewingferry {

/** The header that names the operator. */
constexpr char kOperatorHeader[] = "x-ferry-operator";

/** Signs a request by HMAC-SHA256 and adds the headers x-ferry-operator,
 * x-ferry-time (microseconds since 1970 in UTC), x-ferry-nonce and
 * x-ferry-signature (hexadecimal), with a nonce of its own. */
void SignHttpRequest(const std::string& operator_name, const std::string& host,
                     std::chrono::system_clock::time_point now,
                     const std::string& secret, HttpRequest* request);

/** Reads the headers of a request that was sent to host. Returns nothing when
 * one is missing or malformed. */
std::optional<SignedRequest> ReadSignature(const HttpRequest& request,
                                           const std::string& host);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_HTTP_OPERATOR_SIGNATURE_H_
