#include "lacewingferry/app/caller_api.h"

#include <utility>

#include "lacewingferry/adapters/json/announcement_json.h"
#include "lacewingferry/adapters/token/session_token_codec.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/core/session_positions.h"

namespace lacewingferry {
namespace {

HttpResponse OutcomeResponse(const Outcome& outcome, const std::string& token) {
  HttpResponse response;
  response.status = HttpStatusOf(outcome);
  response.body = FormatOutcome(outcome, token);
  return response;
}

HttpResponse Refusal(RefusalCode code, const std::string& detail) {
  return OutcomeResponse(NotRun{code, detail}, "");
}

HttpResponse WithStatus(int status, const std::string& detail) {
  HttpResponse response = Refusal(RefusalCode::kInvalidRequest, detail);
  response.status = status;
  return response;
}

}  // namespace

CallerApi::CallerApi(CallerApiHooks api_hooks, CallerLimits caller_limits,
                     std::string token_secret)
    : hooks(std::move(api_hooks)),
      limits(caller_limits),
      secret(std::move(token_secret)) {}

void CallerApi::Handle(const HttpRequest& request,
                       const HttpRespond& respond) const {
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (request.path == "/v1/statements" && post) {
    this->HandleStatement(request, respond);
  } else if (request.path == "/v1/announcements" && post) {
    this->HandleAnnouncement(request, respond);
  } else if (request.path == "/v1/health" && get) {
    const bool accepting = this->hooks.accepting();
    respond(HttpResponse{accepting ? 200 : 503, "application/json",
                         accepting ? "{\"status\":\"accepting\"}"
                                   : "{\"status\":\"stopping\"}"});
  } else if (request.path == "/metrics" && get) {
    respond(
        HttpResponse{200, "text/plain; version=0.0.4", this->hooks.metrics()});
  } else {
    const bool known = request.path == "/v1/statements" ||
                       request.path == "/v1/announcements" ||
                       request.path == "/v1/health" ||
                       request.path == "/metrics";
    respond(WithStatus(known ? 405 : 404, request.method + " " + request.path +
                                              " is not offered"));
  }
}

void CallerApi::HandleStatement(const HttpRequest& request,
                                const HttpRespond& respond) const {
  CallerRequest parsed;
  try {
    parsed = ParseCallerRequest(request.body, this->limits);
  } catch (const UserError& error) {
    respond(Refusal(RefusalCode::kInvalidRequest, error.what()));
    return;
  }
  SessionToken token;
  try {
    if (!parsed.token.empty()) {
      token = DecodeSessionToken(parsed.token, this->secret);
    }
  } catch (const UserError& error) {
    respond(Refusal(RefusalCode::kInvalidToken, error.what()));
    return;
  }
  const DatabaseId database = parsed.request.database;
  parsed.request.session_position = FindPosition(token, database);
  parsed.request.position_unknown =
      !parsed.token.empty() && !parsed.request.session_position;
  this->hooks.submit(std::move(parsed.request), [respond, token, database,
                                                 token_secret = this->secret](
                                                    const Outcome& outcome) {
    const SessionToken next = AdvanceToken(token, database, outcome);
    const std::string text =
        next.positions.empty() ? "" : EncodeSessionToken(next, token_secret);
    respond(OutcomeResponse(outcome, text));
  });
}

void CallerApi::HandleAnnouncement(const HttpRequest& request,
                                   const HttpRespond& respond) const {
  MemberAnnouncement announcement;
  try {
    announcement = ParseAnnouncement(request.body);
  } catch (const UserError& error) {
    respond(WithStatus(400, error.what()));
    return;
  }
  this->hooks.announce(std::move(announcement),
                       [respond](const std::string& problem) {
                         if (problem.empty()) {
                           respond(HttpResponse{204, "application/json", ""});
                         } else {
                           respond(WithStatus(400, problem));
                         }
                       });
}

}  // namespace lacewingferry
