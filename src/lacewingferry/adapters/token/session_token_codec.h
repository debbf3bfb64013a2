#ifndef LACEWINGFERRY_ADAPTERS_TOKEN_SESSION_TOKEN_CODEC_H_
#define LACEWINGFERRY_ADAPTERS_TOKEN_SESSION_TOKEN_CODEC_H_

// Defines the text form of session tokens: versioned, opaque and signed.

#include <string>

#include "lacewingferry/core/session_token.h"

namespace lacewingferry {

/** Writes a token as text for a header or a JSON string. */
std::string EncodeSessionToken(const SessionToken& token,
                               const std::string& secret);

/** Reads a token. Throws UserError for text that is damaged or was not signed
 * with the secret. */
SessionToken DecodeSessionToken(const std::string& text,
                                const std::string& secret);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TOKEN_SESSION_TOKEN_CODEC_H_
