#ifndef LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_
#define LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_

// Defines what becomes of a session that a client opens.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lacewingferry/core/client_statement.h"
#include "lacewingferry/core/ids.h"

namespace lacewingferry {

/** Who opens a session here. */
enum class SessionOrigin : std::uint8_t {
  kClient,
  /** Another proxy, for its client. Such a session isn't relayed again. */
  kProxy,
};

/** A session that is to be opened. */
struct SessionOpening {
  ClientId client = 0;
  /** The database name that the client states. */
  std::string host;
  SessionOrigin origin = SessionOrigin::kClient;
};

/** Whether and where a new session is served. */
enum class AdmissionVerdict : std::uint8_t {
  kAccepted,
  /** Other proxies hold the connections to the database's members. */
  kRelayed,
  /** Another proxy sent it, and this one doesn't serve it (any more). */
  kNotServedHere,
  /** No route has the name. */
  kNoDatabase,
  /** This proxy still knows no configuration. */
  kStarting,
};

/** The answer to a SessionOpening. */
struct Admission {
  AdmissionVerdict verdict = AdmissionVerdict::kStarting;
  /** For kRelayed: the proxies that may serve it, in the order of trial. */
  std::vector<NodeId> owners;
};

/** Gets the answer to the opening of a session, once. */
using AdmissionHook = std::function<void(const Admission&)>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_GATEWAY_ADMISSION_H_
