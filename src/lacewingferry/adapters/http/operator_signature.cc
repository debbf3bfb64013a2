#include "lacewingferry/adapters/http/operator_signature.h"

#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <cstdint>

#include "lacewingferry/adapters/openssl/keyed_digest.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMostNonceCharacters = 64;
constexpr int kHexBase = 16;

const char* const kTimeHeader = "x-ferry-time";
const char* const kNonceHeader = "x-ferry-nonce";
const char* const kSignatureHeader = "x-ferry-signature";

std::string ToHex(const std::string& bytes) {
  static const char* const kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value / kHexBase];
    text += kDigits[value % kHexBase];
  }
  return text;
}

std::optional<std::string> FromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    std::uint8_t value = 0;
    const char* end = text.data() + i + 2;
    const auto parsed = std::from_chars(text.data() + i, end, value, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return std::nullopt;
    }
    bytes += static_cast<char>(value);
  }
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  return bytes;
}

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw InternalError("no random bytes can be had");
  }
  return ToHex(std::string(bytes.begin(), bytes.end()));
}

std::string FullPath(const HttpRequest& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

std::string Header(const HttpRequest& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

std::optional<std::chrono::system_clock::time_point> ParseTime(
    const std::string& text) {
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  // Times after the year 2100 would overflow the clock's own unit.
  constexpr std::int64_t kLatest = 4102444800000000;
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     count >= 0 && count < kLatest;
  if (!valid) {
    return std::nullopt;
  }
  return std::chrono::system_clock::time_point(
      std::chrono::microseconds(count));
}

}  // namespace

void SignHttpRequest(const std::string& operator_name, const std::string& host,
                     std::chrono::system_clock::time_point now,
                     const std::string& secret, HttpRequest* request) {
  SignedRequest signature;
  signature.operator_name = operator_name;
  signature.host = host;
  signature.method = request->method;
  signature.path = FullPath(*request);
  signature.body = request->body;
  signature.signed_at = now;
  signature.nonce = MakeNonce();
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch());
  request->headers[kOperatorHeader] = operator_name;
  request->headers[kTimeHeader] = std::to_string(since_epoch.count());
  request->headers[kNonceHeader] = signature.nonce;
  request->headers[kSignatureHeader] =
      ToHex(KeyedDigest(secret, SignedText(signature)));
}

std::optional<SignedRequest> ReadSignature(const HttpRequest& request,
                                           const std::string& host) {
  SignedRequest signature;
  signature.operator_name = Header(request, kOperatorHeader);
  signature.host = host;
  signature.method = request.method;
  signature.path = FullPath(request);
  signature.body = request.body;
  signature.nonce = Header(request, kNonceHeader);
  const auto signed_at = ParseTime(Header(request, kTimeHeader));
  const auto digest = FromHex(Header(request, kSignatureHeader));
  const bool whole = signed_at && digest && !digest->empty() &&
                     !signature.operator_name.empty() &&
                     !signature.nonce.empty() &&
                     signature.nonce.size() <= kMostNonceCharacters;
  if (!whole) {
    return std::nullopt;
  }
  signature.signed_at = *signed_at;
  signature.signature = *digest;
  return signature;
}

}  // namespace lacewingferry
