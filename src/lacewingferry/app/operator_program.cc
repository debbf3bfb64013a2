#include "lacewingferry/app/operator_program.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "lacewingferry/adapters/http/operator_client.h"
#include "lacewingferry/adapters/json/event_json.h"
#include "lacewingferry/adapters/yaml/release_note_reader.h"
#include "lacewingferry/app/daemon_main.h"
#include "lacewingferry/app/operator_report.h"
#include "lacewingferry/app/timeline_json.h"
#include "lacewingferry/app/timeline_svg.h"
#include "lacewingferry/app/timeline_text.h"
#include "lacewingferry/core/errors.h"
#include "lacewingferry/decisions/timeline/request_path.h"
#include "lacewingferry/decisions/timeline/timeline_merge.h"

namespace lacewingferry {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusRefused = 422;
constexpr int kStatusUnavailable = 503;
constexpr std::chrono::milliseconds kStatusInterval{250};

Json ParseBody(const HttpResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  if (!body.is_object()) {
    throw UserError("the answer is not from a control process: status " +
                    std::to_string(response.status));
  }
  return body;
}

/** Throws for an answer that is neither a result nor a verdict on a note. */
void RequireAnswer(const HttpResponse& response) {
  if (response.status == kStatusOk || response.status == kStatusConflict ||
      response.status == kStatusRefused) {
    return;
  }
  const Json body = ParseBody(response);
  const std::string problem =
      body.value("error", "unknown") + ": " + body.value("detail", "");
  if (response.status == kStatusUnavailable) {
    throw UnreachableError(problem);
  }
  throw UserError(problem);
}

/** Carries out one command. */
class CommandRun {
 public:
  CommandRun(const OperatorCommand& parsed, const OperatorProgramHooks& through,
             std::ostream& stream)
      : command(parsed), hooks(through), out(stream) {}

  int Run() {
    switch (this->command.action) {
      case OperatorAction::kPrint:
        this->out << this->command.message;
        return kExitOk;
      case OperatorAction::kCheck:
        return this->Check();
      case OperatorAction::kDiff:
        return this->Diff();
      case OperatorAction::kApply:
        return this->Apply();
      case OperatorAction::kShow:
        return this->Show();
      case OperatorAction::kHistory:
        return this->History();
      case OperatorAction::kStatus:
        return this->Status();
      case OperatorAction::kTimeline:
        return this->Timeline();
      case OperatorAction::kExplain:
        return this->Explain();
    }
    throw InternalError("command without an action");
  }

 private:
  bool AsJson() const { return this->command.format == OutputFormat::kJson; }

  HttpResponse Get(const char* path) {
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    HttpResponse response = this->hooks.call(request);
    RequireAnswer(response);
    return response;
  }

  /** Sends the note, which has been found readable. */
  HttpResponse PostNote(const char* path) {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers["content-type"] = "application/yaml";
    request.body = this->hooks.read_file(this->command.note_path);
    ReadReleaseNote(request.body, this->command.note_path);
    HttpResponse response = this->hooks.call(request);
    RequireAnswer(response);
    return response;
  }

  /** Prints a body or its report, and tells the exit status of a verdict. */
  int Print(const HttpResponse& response, const std::string& report) {
    this->out << (this->AsJson() ? response.body : report);
    return response.status == kStatusOk ? kExitOk : kExitFailed;
  }

  int Check() {
    if (this->command.controls.empty()) {
      ReadReleaseNote(this->hooks.read_file(this->command.note_path),
                      this->command.note_path);
      this->out << "the note can be read; without --control it is not compared "
                   "with what is in force\n";
      return kExitOk;
    }
    const HttpResponse response = this->PostNote("/v1/notes/check");
    const Json body = ParseBody(response);
    const bool fresh =
        response.status == kStatusOk && !body.at("repeated").get<bool>();
    return this->Print(
        response,
        fresh ? "no findings\n" : ReportNote(body, this->command.note_path));
  }

  int Diff() {
    const HttpResponse response = this->PostNote("/v1/notes/check");
    const Json body = ParseBody(response);
    std::string report = ReportDiff(body.value("diff", Json::array()));
    if (response.status != kStatusOk) {
      report += ReportNote(body, this->command.note_path);
    }
    return this->Print(response, report);
  }

  int Apply() {
    const HttpResponse response = this->PostNote("/v1/notes");
    const Json body = ParseBody(response);
    const int status =
        this->Print(response, ReportNote(body, this->command.note_path));
    const bool wait = status == kExitOk && this->command.wait.count() > 0;
    return wait ? this->WaitInForce(body.at("revision").get<std::uint64_t>())
                : status;
  }

  /** Asks for the status until the revision is in force everywhere. */
  int WaitInForce(std::uint64_t revision) {
    const auto deadline = this->hooks.now() + this->command.wait;
    while (true) {
      const HttpResponse response = this->Get("/v1/status");
      const Json body = ParseBody(response);
      const bool everywhere =
          body.at("revision").get<std::uint64_t>() >= revision &&
          body.at("lagging").empty();
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - this->hooks.now());
      if (everywhere || left.count() <= 0) {
        this->Print(response, ReportStatus(body));
        return everywhere ? kExitOk : kExitFailed;
      }
      this->hooks.pause(std::min(left, kStatusInterval));
    }
  }

  int Show() {
    const HttpResponse response = this->Get("/v1/configuration");
    const Json body = ParseBody(response);
    return this->Print(response, body.at("note").get<std::string>());
  }

  int History() {
    const HttpResponse response = this->Get("/v1/history");
    return this->Print(response,
                       ReportHistory(ParseBody(response).at("entries")));
  }

  int Status() {
    const HttpResponse response = this->Get("/v1/status");
    const Json body = ParseBody(response);
    this->Print(response, ReportStatus(body));
    return body.at("lagging").empty() ? kExitOk : kExitFailed;
  }

  std::vector<TimelineEntry> ReadTimeline() {
    std::vector<std::vector<TimelineEntry>> sources;
    for (const std::string& path : this->command.log_paths) {
      sources.push_back(ReadLogLines(this->hooks.read_file(path)));
    }
    this->AddControls(&sources);
    return MergeTimelines(sources);
  }

  int Explain() {
    const std::vector<TimelineEntry> path =
        FindRequestPath(this->ReadTimeline(), this->command.request);
    if (path.empty()) {
      this->out << "no line names the request " << this->command.request.Value()
                << "; of those that were served one of 64 has one\n";
      return kExitFailed;
    }
    this->Print(path);
    return kExitOk;
  }

  int Timeline() {
    this->Print(this->ReadTimeline());
    return kExitOk;
  }

  void Print(const std::vector<TimelineEntry>& merged) {
    switch (this->command.format) {
      case OutputFormat::kText:
        this->out << TimelineText(merged);
        break;
      case OutputFormat::kJson:
        this->out << TimelineDocument(merged);
        break;
      case OutputFormat::kSvg:
        this->out << TimelineSvg(merged);
        break;
    }
  }

  void AddControls(std::vector<std::vector<TimelineEntry>>* sources) {
    if (this->command.controls.empty()) {
      return;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/timeline";
    for (const HttpResponse& response : this->hooks.call_each(request)) {
      RequireAnswer(response);
      std::vector<TimelineEntry> entries;
      for (const Json& entry : ParseBody(response).at("entries")) {
        entries.push_back(EventFromJson(entry));
      }
      sources->push_back(entries);
    }
  }

  const OperatorCommand& command;
  const OperatorProgramHooks& hooks;
  std::ostream& out;
};

}  // namespace

int RunOperatorCommand(const OperatorCommand& command,
                       const OperatorProgramHooks& hooks, std::ostream& out) {
  try {
    return CommandRun(command, hooks, out).Run();
  } catch (const nlohmann::json::exception& error) {
    throw UserError(std::string("the answer is not from a control process: ") +
                    error.what());
  }
}

}  // namespace lacewingferry
