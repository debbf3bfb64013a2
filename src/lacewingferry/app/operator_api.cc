#include "lacewingferry/app/operator_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "lacewingferry/adapters/http/operator_signature.h"
#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/adapters/openssl/keyed_digest.h"
#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "lacewingferry/app/operator_json.h"
#include "lacewingferry/core/finding.h"
#include "lacewingferry/decisions/configuration/note_evaluation.h"
#include "lacewingferry/decisions/configuration/note_in_force.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusNotLeader = 421;
constexpr int kStatusRefused = 422;
constexpr int kStatusUnavailable = 503;

const char* const kNotesPath = "/v1/notes";
const char* const kCheckPath = "/v1/notes/check";
const char* const kTimelinePath = "/v1/timeline";

HttpResponse MakeResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse MakeError(int status, const std::string& error,
                       const std::string& detail) {
  return MakeResponse(status, Json{{"error", error}, {"detail", detail}});
}

int StatusOf(NoteVerdict verdict) {
  switch (verdict) {
    case NoteVerdict::kAccepted:
      return kStatusOk;
    case NoteVerdict::kRefused:
      return kStatusRefused;
    case NoteVerdict::kConflict:
    case NoteVerdict::kIdReused:
      return kStatusConflict;
  }
  return kStatusRefused;
}

/** The answer to a note that can't be read. */
HttpResponse AnswerUnreadable(const FindingsError& error,
                              std::uint64_t revision) {
  NoteAnswer answer;
  answer.verdict = NoteVerdict::kRefused;
  answer.revision = revision;
  return MakeResponse(kStatusRefused, ToJson(answer, error.Findings()));
}

HttpResponse AnswerNote(const PlacedNote& placed, const NoteAnswer& answer) {
  return MakeResponse(StatusOf(answer.verdict),
                      ToJson(answer, placed.Locate(answer.findings)));
}

Event MakeNoteEvent(const ReleaseNote& note, const NoteAnswer& answer) {
  Event event;
  const bool accepted = answer.verdict == NoteVerdict::kAccepted;
  event.code = accepted ? EventCode::kNoteAccepted : EventCode::kNoteRejected;
  event.fields = {{"note", note.id.Value()},
                  {"author", note.author},
                  {"revision", std::to_string(answer.revision)},
                  {"verdict", VerdictName(answer.verdict)}};
  return event;
}

/** The operator whose signature has been checked. */
std::string OperatorOf(const HttpRequest& request) {
  return request.headers.at(kOperatorHeader);
}

Json ConfigurationToJson(const Configuration& configuration) {
  const std::string author = configuration.history.empty()
                                 ? "lacewingferry"
                                 : configuration.history.back().note.author;
  const ReleaseNote note = MakeNoteInForce(configuration.in_force, author);
  return Json{{"revision", configuration.in_force.revision},
              {"note", WriteReleaseNote(note)}};
}

Json TimelineBody(const std::vector<TimelineEntry>& timeline) {
  Json entries = Json::array();
  for (const TimelineEntry& entry : timeline) {
    entries.push_back(EventToJson(entry));
  }
  return Json{{"entries", entries}};
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiHooks api_hooks, std::string secret,
                         std::string own_address)
    : hooks(std::move(api_hooks)),
      address(std::move(own_address)),
      auth(
          [secret = std::move(secret)](const std::string& text,
                                       const std::string& signature) {
            return SameDigest(KeyedDigest(secret, text), signature);
          },
          this->hooks.wall_now()) {}

void OperatorApi::Handle(const HttpRequest& request,
                         const HttpRespond& respond) {
  if (auto refusal = this->Authenticate(request)) {
    respond(*std::move(refusal));
  } else if (auto redirect = this->Redirect(request)) {
    respond(*std::move(redirect));
  } else if (request.method == "POST" && request.path == kNotesPath) {
    this->ApplyNote(request, respond);
  } else if (request.method == "POST" && request.path == kCheckPath) {
    respond(this->CheckNote(request));
  } else if (request.method == "GET") {
    respond(this->Read(request));
  } else {
    respond(MakeError(kStatusNotFound, "unknown_request",
                      request.method + " " + request.path));
  }
}

std::optional<HttpResponse> OperatorApi::Authenticate(
    const HttpRequest& request) {
  const auto signature = ReadSignature(request, this->address);
  std::string reason = "no_signature";
  if (signature) {
    const AuthVerdict verdict =
        this->auth.Check(*signature, this->hooks.wall_now());
    if (verdict == AuthVerdict::kGranted) {
      return std::nullopt;
    }
    reason = AuthVerdictName(verdict);
  }
  const std::string name = signature ? signature->operator_name : "";
  this->hooks.events.record(Event{EventCode::kOperatorRefused,
                                  EventLevel::kWarning,
                                  {{"operator", name}, {"reason", reason}}});
  return MakeError(kStatusUnauthorized, "unauthorized", reason);
}

std::optional<HttpResponse> OperatorApi::Redirect(
    const HttpRequest& request) const {
  if (this->hooks.leading() || request.path == kTimelinePath) {
    return std::nullopt;
  }
  const std::string leader = this->hooks.leader();
  if (leader.empty() && request.method == "GET") {
    return std::nullopt;
  }
  Json body{{"error", "not_leader"}};
  if (!leader.empty()) {
    body["leader"] = leader;
  }
  return MakeResponse(kStatusNotLeader, body);
}

void OperatorApi::ApplyNote(const HttpRequest& request,
                            const HttpRespond& respond) {
  try {
    const PlacedNote placed = ReadReleaseNote(request.body, "note");
    const auto received_at =
        std::chrono::duration_cast<std::chrono::microseconds>(
            this->hooks.wall_now().time_since_epoch());
    const EventPort events = this->hooks.events;
    this->hooks.apply(
        NoteSubmission{placed.note, received_at, OperatorOf(request)},
        [placed, respond, events](const std::optional<NoteAnswer>& answer) {
          if (!answer) {
            respond(MakeError(kStatusUnavailable, "unknown",
                              "the note may or may not be applied; send the "
                              "same note again"));
            return;
          }
          events.record(MakeNoteEvent(placed.note, *answer));
          respond(AnswerNote(placed, *answer));
        });
  } catch (const FindingsError& error) {
    respond(
        AnswerUnreadable(error, this->hooks.configuration().in_force.revision));
  }
}

HttpResponse OperatorApi::CheckNote(const HttpRequest& request) const {
  const Configuration& configuration = this->hooks.configuration();
  try {
    const PlacedNote placed = ReadReleaseNote(request.body, "note");
    const NoteAnswer answer = EvaluateNote(placed.note, configuration);
    Json body = ToJson(answer, placed.Locate(answer.findings));
    body["diff"] = ToJson(DiffNote(placed.note, configuration.in_force));
    return MakeResponse(StatusOf(answer.verdict), body);
  } catch (const FindingsError& error) {
    return AnswerUnreadable(error, configuration.in_force.revision);
  }
}

HttpResponse OperatorApi::Read(const HttpRequest& request) const {
  Json body;
  if (request.path == "/v1/configuration") {
    body = ConfigurationToJson(this->hooks.configuration());
  } else if (request.path == "/v1/history") {
    body["entries"] = ToJson(this->hooks.configuration().history);
  } else if (request.path == "/v1/status") {
    body = ToJson(this->hooks.in_force());
  } else if (request.path == kTimelinePath) {
    body = TimelineBody(this->hooks.timeline());
  } else {
    return MakeError(kStatusNotFound, "unknown_request", "GET " + request.path);
  }
  body["leading"] = this->hooks.leading();
  return MakeResponse(kStatusOk, body);
}

}  // namespace lacewingferry
