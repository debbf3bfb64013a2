#ifndef LACEWINGFERRY_APP_OPERATOR_API_H_
#define LACEWINGFERRY_APP_OPERATOR_API_H_

// Defines OperatorApi, the HTTP interface of a control process.

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/adapters/http/http_message.h"
#include "lacewingferry/core/note_answer.h"
#include "lacewingferry/core/release_note.h"
#include "lacewingferry/core/timeline_entry.h"
#include "lacewingferry/decisions/configuration/configuration.h"
#include "lacewingferry/decisions/configuration/in_force_tracker.h"
#include "lacewingferry/decisions/operators/operator_auth.h"
#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** What the interface acts through, all on the control thread. */
struct OperatorApiHooks {
  /** Whether this process leads and no other can: it holds a majority's lease
   * or has just confirmed its leadership. Else reads may be old. */
  std::function<bool()> leading;
  /** The leader's address for operators, IP:PORT; empty while none is known. */
  std::function<std::string()> leader;
  /** Puts a note into the control log and reports its answer once it is
   * committed; nothing if that isn't known. Called on the leader only. */
  std::function<void(const NoteSubmission&,
                     std::function<void(const std::optional<NoteAnswer>&)>)>
      apply;
  std::function<const Configuration&()> configuration;
  std::function<InForceSummary()> in_force;
  /** This process's recent events. */
  std::function<std::vector<TimelineEntry>()> timeline;
  std::function<std::chrono::system_clock::time_point()> wall_now;
  EventPort events;
};

/**
 * Answers the requests of ferryctl, each signed by an operator:
 *
 *   POST /v1/notes           apply a release note, in YAML
 *   POST /v1/notes/check     judge a note and show what it would change
 *   GET  /v1/configuration   what is in force, as a note
 *   GET  /v1/history         the accepted notes that are kept
 *   GET  /v1/status          where the configuration is in force
 *   GET  /v1/timeline        the recent events of this process
 *
 * A process that doesn't lead names the leader with status 421; while no
 * leader is known it answers reads from its own state.
 */
class OperatorApi {
 public:
  /** Address is the IP:PORT to which operators send their requests. */
  OperatorApi(OperatorApiHooks hooks, std::string secret, std::string address);

  /** Answers one request. */
  void Handle(const HttpRequest& request, const HttpRespond& respond);

 private:
  std::optional<HttpResponse> Authenticate(const HttpRequest& request);
  std::optional<HttpResponse> Redirect(const HttpRequest& request) const;
  void ApplyNote(const HttpRequest& request, const HttpRespond& respond);
  HttpResponse CheckNote(const HttpRequest& request) const;
  HttpResponse Read(const HttpRequest& request) const;

  OperatorApiHooks hooks;
  std::string address;
  OperatorAuth auth;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_API_H_
