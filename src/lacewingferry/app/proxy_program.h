#ifndef LACEWINGFERRY_APP_PROXY_PROGRAM_H_
#define LACEWINGFERRY_APP_PROXY_PROGRAM_H_

// Defines the proxy: its threads, its adapters and the decisions between them.

#include <memory>

#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** A running proxy. */
class ProxyProgram {
 public:
  /** Listens at once; throws UserError for an address that can't be used. */
  ProxyProgram(ProxySettings settings, EventPort events,
               HybridWallClock hybrid);
  ~ProxyProgram();
  ProxyProgram(const ProxyProgram&) = delete;
  ProxyProgram& operator=(const ProxyProgram&) = delete;

  /** Runs the control state on the calling thread until a planned stop, which
   * SIGTERM and SIGINT ask for, has ended. */
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_PROXY_PROGRAM_H_
