#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_

// Defines Admission, the decision whether and where a new session is served.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Who opened a session at this proxy. */
enum class SessionOrigin : std::uint8_t {
  kClient,
  /** Another proxy, which relays it for a client. This proxy does not relay it
   * again. */
  kProxy,
};

/** A request to open a session. */
struct SessionOpening {
  ClientId client = 0;
  /** The database name that the client requested. */
  std::string host;
  SessionOrigin origin = SessionOrigin::kClient;
  /** What the client presents to identify its customer. */
  std::string key{};
  /** For kProxy: the configuration by which the relaying proxy admitted the
   * session. This proxy doesn't decide by an older one. */
  std::uint64_t least_version = 0;
};

/** Whether and where a new session is served. */
enum class AdmissionResult : std::uint8_t {
  kAccepted,
  /** Other proxies hold the connections to the database's members. */
  kRelayed,
  /** Another proxy relayed it, but this proxy does not serve the database, or
   * no longer does. */
  kNotServedHere,
  /** No route has the requested database name. */
  kNoDatabase,
  /** The route needs a customer's key, and the client's is none. */
  kUnknownKey,
  /** This proxy has no configuration yet or an older one than the proxy that
   * relays the session, or does not know which proxies own the database. */
  kStarting,
};

/** The answer to a SessionOpening. */
struct Admission {
  AdmissionResult result = AdmissionResult::kStarting;
  /** For kRelayed: the proxies that may serve it, in the order in which to try
   * them. */
  std::vector<NodeId> owners{};
  /** For kRelayed: the configuration by which this proxy admitted the session.
   */
  std::uint64_t configuration_version = 0;
};

/** Receives the answer to a SessionOpening; called exactly once. */
using AdmissionHook = std::function<void(const Admission&)>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_
