#include "lacewingferry/decisions/traffic/statement_batch.h"

#include <utility>

namespace lacewingferry {
namespace {

constexpr char kRecordIdentifier[] =
    "INSERT INTO ferry_requests (request_id) VALUES ($1)";

std::size_t Append(StatementBatch& batch, SqlStatement statement) {
  batch.batch.statements.push_back(std::move(statement));
  return batch.batch.statements.size() - 1;
}

void AppendRead(const StatementRequest& request, const std::string& status_sql,
                StatementBatch& batch) {
  batch.status_before = Append(batch, {status_sql, {}});
  batch.statement = Append(batch, request.statement);
  batch.status_after = Append(batch, {status_sql, {}});
}

void AppendWrite(const StatementRequest& request, const std::string& status_sql,
                 StatementBatch& batch) {
  Append(batch, {"BEGIN", {}});
  if (!request.request_id.Empty()) {
    batch.identifier =
        Append(batch, {kRecordIdentifier, {request.request_id.Value()}});
  }
  batch.statement = Append(batch, request.statement);
  Append(batch, {"COMMIT", {}});
  batch.status_after = Append(batch, {status_sql, {}});
}

}  // namespace

StatementBatch BuildStatementBatch(const StatementRequest& request,
                                   const std::string& status_sql) {
  StatementBatch batch;
  if (request.kind == RequestKind::kBegin) {
    Append(batch, {"BEGIN", {}});
  } else if (request.kind == RequestKind::kRollback) {
    Append(batch, {"ROLLBACK", {}});
  } else if (request.kind == RequestKind::kCommit) {
    Append(batch, {"COMMIT", {}});
    batch.status_after = Append(batch, {status_sql, {}});
  } else if (!request.transaction.Empty()) {
    batch.statement = Append(batch, request.statement);
  } else if (request.kind == RequestKind::kRead) {
    AppendRead(request, status_sql, batch);
  } else {
    AppendWrite(request, status_sql, batch);
  }
  return batch;
}

}  // namespace lacewingferry
