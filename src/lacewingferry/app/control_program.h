#ifndef LACEWINGFERRY_APP_CONTROL_PROGRAM_H_
#define LACEWINGFERRY_APP_CONTROL_PROGRAM_H_

// Defines the control process: its thread, its adapters and the decisions
// between them.

#include <functional>
#include <memory>
#include <vector>

#include "lacewingferry/app/hybrid_wall_clock.h"
#include "lacewingferry/core/settings.h"
#include "lacewingferry/core/timeline_entry.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What a control process gets from its main. */
struct ControlProgramParts {
  ControlSettings settings;
  EventPort events;
  HybridWallClock hybrid;
  /** The process's recent events, for the time line. */
  std::function<std::vector<TimelineEntry>()> timeline;
};

/** A running control process. All its work is done on one thread. */
class ControlProgram {
 public:
  /** Reads the disk and listens; throws UserError, or StorageError for a disk
   * that can't be trusted. */
  explicit ControlProgram(ControlProgramParts parts);
  ~ControlProgram();
  ControlProgram(const ControlProgram&) = delete;
  ControlProgram& operator=(const ControlProgram&) = delete;

  /** Runs on the calling thread until SIGTERM or SIGINT. Throws StorageError
   * when the disk fails. */
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_CONTROL_PROGRAM_H_
