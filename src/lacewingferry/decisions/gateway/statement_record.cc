#include "lacewingferry/decisions/gateway/statement_record.h"

#include <sstream>
#include <string>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** One in this many served statements is logged. */
constexpr std::uint32_t kSampleInterval = 64;

/** FNV-1a, which gives the same result in every process. */
std::uint32_t Fnv1aHash(const std::string& text) {
  std::uint32_t hash = 2166136261U;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return hash;
}

std::string PositionText(const std::optional<LogPosition>& position) {
  if (!position) return "none";
  std::ostringstream out;
  out << *position;
  return out.str();
}

const char* KindName(StatementKind kind) {
  switch (kind) {
    case StatementKind::kBegin:
      return "begin";
    case StatementKind::kBeginReadOnly:
      return "begin_read_only";
    case StatementKind::kCommit:
      return "commit";
    case StatementKind::kRead:
      return "read";
    case StatementKind::kWrite:
      return "write";
    case StatementKind::kExecute:
      return "execute";
    default:
      return "other";
  }
}

}  // namespace

const char* StatementErrorName(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
      return "busy";
    case StatementError::kAborted:
      return "aborted";
    case StatementError::kLagging:
      return "lagging";
    case StatementError::kReadOnly:
      return "read_only";
    case StatementError::kMisrouted:
      return "misrouted";
    case StatementError::kTooManyConnections:
      return "too_many_connections";
    case StatementError::kFailed:
      return "failed";
    case StatementError::kUnknownPrepared:
      return "unknown_prepared";
    case StatementError::kTimeout:
      return "timeout";
    case StatementError::kUnknown:
      return "unknown";
    case StatementError::kUnauthorized:
      return "unauthorized";
    case StatementError::kNoDatabase:
      return "no_database";
    case StatementError::kTooLarge:
      return "too_large";
    case StatementError::kMalformed:
      return "malformed";
  }
  throw InternalError("StatementError value without a name");
}

bool IsSampled(const RequestId& request) {
  return Fnv1aHash(request.Value()) % kSampleInterval == 0;
}

std::optional<Event> MakeStatementEvent(steady_clock::time_point now,
                                        const StatementRun& run,
                                        const ClientReply& reply) {
  if (!reply.error && !IsSampled(run.statement.id)) return std::nullopt;
  Event event;
  event.code = EventCode::kRequestServed;
  if (reply.error) {
    const bool unknown = *reply.error == StatementError::kUnknown ||
                         *reply.error == StatementError::kTimeout;
    event.code =
        unknown ? EventCode::kRequestUnknown : EventCode::kRequestRefused;
  }
  event.level = EventLevel::kInfo;
  const auto took = duration_cast<milliseconds>(now - run.arrived);
  event.fields = {{"request", run.statement.id.Value()},
                  {"database", run.database.Value()},
                  {"kind", KindName(run.statement.kind)},
                  {"member", run.served_by.Value()},
                  {"link", std::to_string(run.served_on)},
                  {"attempts", std::to_string(run.attempts)},
                  {"took_ms", std::to_string(took.count())},
                  {"least_position", PositionText(run.least_position)},
                  {"position", PositionText(reply.position)},
                  {"in_transaction", run.in_transaction ? "yes" : "no"}};
  if (run.served_prepared != 0) {
    event.fields.emplace_back("prepared", std::to_string(run.served_prepared));
  }
  if (reply.error) {
    event.fields.emplace_back("error", StatementErrorName(*reply.error));
    event.fields.emplace_back("reason", reply.error_text);
  }
  return event;
}

}  // namespace lacewingferry
