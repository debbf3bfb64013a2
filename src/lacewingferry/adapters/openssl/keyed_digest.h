#ifndef LACEWINGFERRY_ADAPTERS_OPENSSL_KEYED_DIGEST_H_
#define LACEWINGFERRY_ADAPTERS_OPENSSL_KEYED_DIGEST_H_

// Defines the keyed digest that shows that bytes come from a holder of a
// secret.

#include <string>

namespace lacewingferry {

/** The HMAC-SHA256 of bytes, 32 raw bytes. */
std::string KeyedDigest(const std::string& secret, const std::string& bytes);

/** Compares two digests in a time that doesn't depend on their content. */
bool SameDigest(const std::string& a, const std::string& b);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_OPENSSL_KEYED_DIGEST_H_
