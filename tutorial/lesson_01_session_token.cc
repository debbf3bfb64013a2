// Lesson 1: how a session takes what it has seen from one proxy to another.
//
// A caller sends the token of its last answer along with its next request, to
// whichever proxy the balancer picks. The token says how far each database's
// log had grown for this session; the proxy reads only from members that have
// applied that much. It is signed, because callers keep it.

#include <cstdlib>
#include <iostream>

#include "lacewingferry/adapters/token/session_token_codec.h"
#include "lacewingferry/core/errors.h"

using lacewingferry::DatabaseId;
using lacewingferry::DecodeSessionToken;
using lacewingferry::EncodeSessionToken;
using lacewingferry::LogPosition;
using lacewingferry::SeenPosition;
using lacewingferry::SessionToken;
using lacewingferry::UserError;

int main() {
  const std::string secret = "shared by all proxies";

  // The first proxy acknowledged a write that ended at offset 12 of term 3.
  SessionToken token;
  token.positions = {
      SeenPosition{DatabaseId("permit-db-1"), LogPosition{3, 12}}};
  const std::string text = EncodeSessionToken(token, secret);
  std::cout << "token: " << text << "\n";

  // The second proxy reads it.
  const SessionToken seen = DecodeSessionToken(text, secret);
  const LogPosition position = seen.positions.at(0).position;
  std::cout << "seen: term " << position.term << ", offset " << position.offset
            << "\n";
  if (!(position == LogPosition{3, 12})) return EXIT_FAILURE;

  // A position of an earlier term is lower, whatever its offset.
  if (!(LogPosition{2, 900} < position)) return EXIT_FAILURE;

  // A token that a caller changed is refused; it doesn't count as an empty one.
  std::string forged = text;
  forged[forged.size() / 2] = forged[forged.size() / 2] == 'A' ? 'B' : 'A';
  try {
    DecodeSessionToken(forged, secret);
    return EXIT_FAILURE;
  } catch (const UserError& error) {
    std::cout << "forged: " << error.what() << "\n";
  }
  return EXIT_SUCCESS;
}
