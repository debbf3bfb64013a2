#include "bench/processes/statement_client.h"

#include <nlohmann/json.hpp>

#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry::processes {
namespace {

using nlohmann::json;

/** What an answer may take beyond the request's own time limit. */
constexpr std::chrono::milliseconds kAnswerMargin{3000};

const char* KindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kRead:
      return "read";
    case RequestKind::kWrite:
      return "write";
    case RequestKind::kBegin:
      return "begin";
    case RequestKind::kCommit:
      return "commit";
    case RequestKind::kRollback:
      return "rollback";
  }
  throw InternalError("request kind without a name");
}

void AddText(json& out, const char* name, const std::string& value) {
  if (!value.empty()) out[name] = value;
}

std::string Encode(const StatementRequest& request, const std::string& token) {
  json out = {{"database", request.database.Value()},
              {"kind", KindName(request.kind)},
              {"timeout", FormatDuration(request.timeout)}};
  AddText(out, "sql", request.statement.sql);
  AddText(out, "session", request.session.Value());
  AddText(out, "customer", request.customer.Value());
  AddText(out, "request_id", request.request_id.Value());
  AddText(out, "transaction", request.transaction.Value());
  AddText(out, "token", token);
  if (request.repeatable) out["repeatable"] = true;
  if (request.max_age) out["max_age"] = FormatDuration(*request.max_age);
  for (const SqlValue& value : request.statement.parameters) {
    out["parameters"].push_back(value ? json(*value) : json());
  }
  return out.dump();
}

RefusalCode ParseReason(const std::string& name) {
  const int last = static_cast<int>(RefusalCode::kTermLost);
  for (int i = 0; i <= last; ++i) {
    const auto code = static_cast<RefusalCode>(i);
    if (name == RefusalName(code)) return code;
  }
  throw DecodeError("unknown reason " + name);
}

Answered DecodeAnswered(const json& body) {
  Answered answer;
  for (const json& row : body.at("rows")) {
    auto& cells = answer.result.rows.emplace_back();
    for (const json& cell : row) {
      cells.push_back(cell.is_null() ? SqlValue() : cell.get<std::string>());
    }
  }
  answer.result.columns = body.at("columns").get<std::vector<std::string>>();
  answer.result.affected_rows = body.at("affected_rows").get<std::uint64_t>();
  answer.served_by = MemberId(body.at("served_by").get<std::string>());
  answer.served_by_replica = body.at("replica").get<bool>();
  answer.repeated = body.at("repeated").get<bool>();
  answer.transaction = TransactionId(body.value("transaction", ""));
  if (body.contains("age_bound")) {
    answer.age_bound = ParseDuration(body["age_bound"].get<std::string>());
  }
  return answer;
}

Outcome DecodeOutcome(const json& body) {
  const auto kind = body.at("outcome").get<std::string>();
  if (kind == "answered") return DecodeAnswered(body);
  const std::string detail = body.value("detail", "");
  if (kind == "not_run") {
    return NotRun{ParseReason(body.at("reason").get<std::string>()), detail};
  }
  if (kind == "failed") {
    return StatementFailed{body.value("sqlstate", ""), detail};
  }
  return UnknownOutcome{detail};
}

StatementReply Decode(const HttpResponse& response) {
  StatementReply reply;
  reply.delivery = Delivery::kAnswered;
  reply.http_status = response.status;
  try {
    const json body = json::parse(response.body);
    reply.outcome = DecodeOutcome(body);
    reply.token = body.value("token", "");
  } catch (const std::exception& error) {
    reply.outcome =
        UnknownOutcome{std::string("unreadable answer: ") + error.what()};
  }
  return reply;
}

}  // namespace

StatementClient::StatementClient(const Endpoint& proxy) : http(proxy) {}

StatementReply StatementClient::Send(const StatementRequest& request,
                                     const std::string& token) {
  try {
    return Decode(this->http.Post("/v1/statements", Encode(request, token),
                                  request.timeout + kAnswerMargin));
  } catch (const HttpFailure& failure) {
    StatementReply reply;
    reply.delivery =
        failure.RequestSent() ? Delivery::kLost : Delivery::kNotSent;
    reply.outcome = UnknownOutcome{failure.what()};
    return reply;
  }
}

}  // namespace lacewingferry::processes
