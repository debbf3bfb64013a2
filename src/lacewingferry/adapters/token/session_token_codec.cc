#include "lacewingferry/adapters/token/session_token_codec.h"

#include <array>
#include <cstdint>

#include "lacewingferry/adapters/msgpack/field_codec.h"
#include "lacewingferry/adapters/openssl/keyed_digest.h"

namespace lacewingferry {
namespace {

constexpr char kTokenVersion = '1';
/** The digest is cut to this length; 128 bits withstand guessing. */
constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kLongestToken = 16384;
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string EncodeBase64Url(const std::string& bytes) {
  std::string text;
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : bytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(c);
    held += 8;
    while (held >= 6) {
      held -= 6;
      text += kAlphabet[(bits >> static_cast<unsigned>(held)) & 63U];
    }
  }
  if (held > 0)
    text += kAlphabet[(bits << static_cast<unsigned>(6 - held)) & 63U];
  return text;
}

std::array<int, 256> BuildReverseAlphabet() {
  std::array<int, 256> reverse{};
  reverse.fill(-1);
  for (int i = 0; i < 64; ++i) {
    reverse[static_cast<unsigned char>(kAlphabet[i])] = i;
  }
  return reverse;
}

std::string DecodeBase64Url(const std::string& text) {
  static const std::array<int, 256> kReverse = BuildReverseAlphabet();
  std::string bytes;
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : text) {
    const int value = kReverse[static_cast<unsigned char>(c)];
    if (value < 0) throw UserError("session token: a character is not allowed");
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    held += 6;
    if (held >= 8) {
      held -= 8;
      bytes += static_cast<char>((bits >> static_cast<unsigned>(held)) & 255U);
    }
  }
  return bytes;
}

std::string DigestOf(const std::string& body, const std::string& secret) {
  return KeyedDigest(secret, "session-token" + body).substr(0, kDigestBytes);
}

}  // namespace

std::string EncodeSessionToken(const SessionToken& token,
                               const std::string& secret) {
  const std::string body = kTokenVersion + detail::EncodeFields(token);
  return EncodeBase64Url(body + DigestOf(body, secret));
}

SessionToken DecodeSessionToken(const std::string& text,
                                const std::string& secret) {
  if (text.size() > kLongestToken) throw UserError("session token: too long");
  const std::string bytes = DecodeBase64Url(text);
  if (bytes.size() <= kDigestBytes || bytes[0] != kTokenVersion) {
    throw UserError("session token: not a token of this version");
  }
  const std::string body = bytes.substr(0, bytes.size() - kDigestBytes);
  if (!SameDigest(bytes.substr(body.size()), DigestOf(body, secret))) {
    throw UserError("session token: damaged, or signed with another secret");
  }
  return detail::DecodeFields<SessionToken>(body.data() + 1, body.size() - 1);
}

}  // namespace lacewingferry
