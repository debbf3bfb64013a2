#ifndef LACEWINGFERRY_APP_SESSION_PROXY_PROGRAM_H_
#define LACEWINGFERRY_APP_SESSION_PROXY_PROGRAM_H_

// Defines the proxy of sessions: its control thread, its traffic thread and
// what passes between them.

#include <functional>
#include <memory>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/app/session_front.h"
#include "lacewingferry/core/fleet_settings.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a proxy of sessions gets from its main. */
struct SessionProxyParts {
  SessionProxySettings settings;
  /** Reads the settings again; throws UserError. */
  std::function<SessionProxySettings()> reload;
  MakeSessionFront make_front;
  /** Answers whether the proxy takes connections, by what `ready` says. */
  std::function<HttpHandler(std::function<bool()> ready)> make_readiness;
  EventPort events;
  HybridWallClock hybrid;
};

/** A running proxy of sessions. */
class SessionProxyProgram {
 public:
  /** Listens. Throws UserError. */
  explicit SessionProxyProgram(SessionProxyParts parts);
  ~SessionProxyProgram();
  SessionProxyProgram(const SessionProxyProgram&) = delete;
  SessionProxyProgram& operator=(const SessionProxyProgram&) = delete;

  /** Runs the control thread on the calling thread until a planned stop has
   * ended. */
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_SESSION_PROXY_PROGRAM_H_
