#include "lacewingferry/decisions/execution/request_batch.h"

#include <utility>

#include "lacewingferry/decisions/execution/request_record.h"

namespace lacewingferry {
namespace {

std::size_t Append(RequestBatch& request_batch, MemberStatement statement) {
  request_batch.batch.statements.push_back(std::move(statement));
  return request_batch.batch.statements.size() - 1;
}

std::size_t Append(RequestBatch& request_batch, MemberStatementKind kind) {
  return Append(request_batch, MemberStatement{kind});
}

std::size_t AppendCaller(const StatementRequest& request,
                         RequestBatch& request_batch) {
  MemberStatement statement;
  statement.caller = request.statement;
  return Append(request_batch, std::move(statement));
}

void AppendClaim(const StatementRequest& request, const std::string& digest,
                 RequestBatch& request_batch) {
  MemberStatement claim;
  claim.kind = MemberStatementKind::kClaimRecord;
  claim.request_id = request.request_id;
  claim.digest = digest;
  request_batch.identifier = Append(request_batch, std::move(claim));
}

void AppendRead(const StatementRequest& request, RequestBatch& request_batch) {
  request_batch.status_before =
      Append(request_batch, MemberStatementKind::kState);
  request_batch.statement = AppendCaller(request, request_batch);
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

void AppendWrite(const StatementRequest& request, RequestBatch& request_batch) {
  Append(request_batch, MemberStatementKind::kBegin);
  request_batch.statement = AppendCaller(request, request_batch);
  request_batch.commit = Append(request_batch, MemberStatementKind::kCommit);
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

// The state is read after the identifier's row is written: that write waits for
// any other transaction that holds the row, and the term to check is the one in
// which the wait ended.
void AppendClaimedWrite(const StatementRequest& request,
                        RequestBatch& request_batch) {
  Append(request_batch, MemberStatementKind::kBegin);
  AppendClaim(request, StatementDigest(request.statement), request_batch);
  request_batch.status_before =
      Append(request_batch, MemberStatementKind::kState);
  request_batch.statement = AppendCaller(request, request_batch);
}

void AppendStore(const StatementRequest& request, const std::string& answer,
                 RequestBatch& request_batch) {
  MemberStatement store;
  store.kind = MemberStatementKind::kStoreAnswer;
  store.request_id = request.request_id;
  store.answer = answer;
  Append(request_batch, std::move(store));
  request_batch.commit = Append(request_batch, MemberStatementKind::kCommit);
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

void AppendFind(const StatementRequest& request, RequestBatch& request_batch) {
  Append(request_batch, MemberStatementKind::kRollback);
  MemberStatement find;
  find.kind = MemberStatementKind::kFindRecord;
  find.request_id = request.request_id;
  request_batch.identifier = Append(request_batch, std::move(find));
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

void AppendVoid(const StatementRequest& request, RequestBatch& request_batch) {
  Append(request_batch, MemberStatementKind::kBegin);
  AppendClaim(request, kVoidDigest, request_batch);
  request_batch.status_before =
      Append(request_batch, MemberStatementKind::kState);
  request_batch.commit = Append(request_batch, MemberStatementKind::kCommit);
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

void AppendBegin(const StatementRequest& request, RequestBatch& request_batch) {
  Append(request_batch, MemberStatementKind::kBegin);
  if (!request.request_id.Empty()) {
    AppendClaim(request, kTransactionDigest, request_batch);
  }
  request_batch.status_before =
      Append(request_batch, MemberStatementKind::kState);
}

void AppendCommit(const StatementRequest& request,
                  RequestBatch& request_batch) {
  if (!request.request_id.Empty()) {
    AppendClaim(request, kTransactionDigest, request_batch);
  }
  request_batch.commit = Append(request_batch, MemberStatementKind::kCommit);
  request_batch.status_after =
      Append(request_batch, MemberStatementKind::kState);
}

}  // namespace

RequestBatch BuildRequestBatch(RequestBatchKind kind,
                               const StatementRequest& request,
                               const std::string& answer) {
  RequestBatch request_batch;
  request_batch.kind = kind;
  switch (kind) {
    case RequestBatchKind::kRead:
      AppendRead(request, request_batch);
      break;
    case RequestBatchKind::kWrite:
      AppendWrite(request, request_batch);
      break;
    case RequestBatchKind::kClaim:
      AppendClaimedWrite(request, request_batch);
      break;
    case RequestBatchKind::kStore:
      AppendStore(request, answer, request_batch);
      break;
    case RequestBatchKind::kFind:
      AppendFind(request, request_batch);
      break;
    case RequestBatchKind::kCreateTable:
      Append(request_batch, MemberStatementKind::kRollback);
      request_batch.status_before =
          Append(request_batch, MemberStatementKind::kState);
      Append(request_batch, MemberStatementKind::kCreateRecords);
      break;
    case RequestBatchKind::kVoid:
      AppendVoid(request, request_batch);
      break;
    case RequestBatchKind::kBegin:
      AppendBegin(request, request_batch);
      break;
    case RequestBatchKind::kStatement:
      request_batch.statement = AppendCaller(request, request_batch);
      break;
    case RequestBatchKind::kCommit:
      AppendCommit(request, request_batch);
      break;
    case RequestBatchKind::kRollback:
    case RequestBatchKind::kCleanUp:
      Append(request_batch, MemberStatementKind::kRollback);
      break;
  }
  return request_batch;
}

}  // namespace lacewingferry
