#include "lacewingferry/adapters/json/statement_json.h"

#include <nlohmann/json.hpp>
#include <variant>

#include "lacewingferry/adapters/json/json_fields.h"
#include "lacewingferry/core/duration_text.h"

namespace lacewingferry {
namespace {

using detail::JsonFields;
using nlohmann::json;

RequestKind ParseKind(JsonFields& fields) {
  const std::string kind = fields.Text("kind", true);
  if (kind == "read") return RequestKind::kRead;
  if (kind == "write") return RequestKind::kWrite;
  if (kind == "begin") return RequestKind::kBegin;
  if (kind == "commit") return RequestKind::kCommit;
  if (kind == "rollback") return RequestKind::kRollback;
  if (!kind.empty()) {
    fields.Report("kind '" + kind +
                  "' is not read, write, begin, commit or rollback");
  }
  return RequestKind::kRead;
}

std::vector<SqlValue> ParseParameters(JsonFields& fields) {
  std::vector<SqlValue> parameters;
  const json raw = fields.Raw("parameters");
  if (raw.is_null()) return parameters;
  if (!raw.is_array()) {
    fields.Report("parameters is not an array");
    return parameters;
  }
  for (const json& value : raw) {
    if (value.is_null()) {
      parameters.emplace_back();
    } else if (value.is_string()) {
      parameters.emplace_back(value.get<std::string>());
      if (detail::HasZeroByte(*parameters.back())) {
        fields.Report("a parameter has a zero byte");
      }
    } else if (value.is_number() || value.is_boolean()) {
      parameters.emplace_back(value.dump());
    } else {
      fields.Report(
          "a parameter is neither text, number, true, false nor null");
    }
  }
  return parameters;
}

void CheckKind(const StatementRequest& request, JsonFields& fields) {
  const bool runs_sql =
      request.kind == RequestKind::kRead || request.kind == RequestKind::kWrite;
  if (runs_sql && request.statement.sql.empty()) {
    fields.Report("sql is missing");
  }
  if (!runs_sql && !request.statement.sql.empty()) {
    fields.Report("sql belongs to read and write only");
  }
  const bool ends = request.kind == RequestKind::kCommit ||
                    request.kind == RequestKind::kRollback;
  if (ends && request.transaction.Empty()) {
    fields.Report("transaction is missing");
  }
  if (request.kind == RequestKind::kBegin && !request.transaction.Empty()) {
    fields.Report("begin opens a transaction and names none");
  }
  if (request.kind != RequestKind::kRead && request.max_age) {
    fields.Report("max_age belongs to read only");
  }
  const bool identifiable = request.kind == RequestKind::kWrite ||
                            request.kind == RequestKind::kBegin ||
                            request.kind == RequestKind::kCommit;
  if (!identifiable && !request.request_id.Empty()) {
    fields.Report("request_id belongs to write, begin and commit only");
  }
}

json RowsToJson(const ResultSet& result) {
  json rows = json::array();
  for (const auto& row : result.rows) {
    json cells = json::array();
    for (const SqlValue& cell : row) {
      cells.push_back(cell ? json(*cell) : json());
    }
    rows.push_back(std::move(cells));
  }
  return rows;
}

json ToJson(const Answered& answer) {
  json out = {{"outcome", "answered"},
              {"columns", answer.result.columns},
              {"rows", RowsToJson(answer.result)},
              {"affected_rows", answer.result.affected_rows},
              {"served_by", answer.served_by.Value()},
              {"replica", answer.served_by_replica},
              {"repeated", answer.repeated}};
  if (answer.age_bound) out["age_bound"] = FormatDuration(*answer.age_bound);
  if (!answer.transaction.Empty()) {
    out["transaction"] = answer.transaction.Value();
  }
  return out;
}

json ToJson(const NotRun& refusal) {
  return {{"outcome", "not_run"},
          {"reason", RefusalName(refusal.code)},
          {"detail", refusal.detail}};
}

json ToJson(const StatementFailed& failure) {
  return {{"outcome", "failed"},
          {"sqlstate", failure.sqlstate},
          {"detail", failure.message}};
}

json ToJson(const UnknownOutcome& unknown) {
  return {{"outcome", "unknown"}, {"detail", unknown.detail}};
}

int StatusOfRefusal(RefusalCode code) {
  switch (code) {
    case RefusalCode::kUnknownDatabase:
    case RefusalCode::kUnknownTransaction:
      return 404;
    case RefusalCode::kInvalidToken:
    case RefusalCode::kInvalidRequest:
      return 400;
    case RefusalCode::kTransactionAborted:
    case RefusalCode::kTermLost:
      return 409;
    case RefusalCode::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

}  // namespace

CallerRequest ParseCallerRequest(const std::string& body,
                                 const CallerLimits& limits) {
  JsonFields fields(body, "request");
  CallerRequest parsed;
  StatementRequest& request = parsed.request;
  request.database = DatabaseId(fields.Text("database", true));
  request.kind = ParseKind(fields);
  request.statement.sql = fields.Text("sql", false);
  request.statement.parameters = ParseParameters(fields);
  request.session = SessionId(fields.Text("session", false));
  request.customer = CustomerId(fields.Text("customer", false));
  request.request_id = RequestId(fields.Text("request_id", false));
  request.repeatable = fields.Flag("repeatable");
  request.max_age = fields.Duration("max_age");
  request.transaction = TransactionId(fields.Text("transaction", false));
  request.timeout = fields.Duration("timeout").value_or(limits.default_timeout);
  parsed.token = fields.Text("token", false);
  if (request.timeout > limits.max_timeout) {
    fields.Report("timeout is over " + FormatDuration(limits.max_timeout));
  }
  CheckKind(request, fields);
  fields.Finish();
  return parsed;
}

std::string FormatOutcome(const Outcome& outcome, const std::string& token) {
  json out = std::visit([](const auto& held) { return ToJson(held); }, outcome);
  if (!token.empty()) out["token"] = token;
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

int HttpStatusOf(const Outcome& outcome) {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    return StatusOfRefusal(refusal->code);
  }
  if (std::holds_alternative<StatementFailed>(outcome)) return 422;
  if (std::holds_alternative<UnknownOutcome>(outcome)) return 504;
  return 200;
}

}  // namespace lacewingferry
