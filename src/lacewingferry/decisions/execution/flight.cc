#include "lacewingferry/decisions/execution/flight.h"

#include <utility>

#include "lacewingferry/decisions/execution/request_record.h"

namespace lacewingferry {
namespace {

std::size_t Append(Flight& flight, MemberStatement statement) {
  flight.batch.statements.push_back(std::move(statement));
  return flight.batch.statements.size() - 1;
}

std::size_t Append(Flight& flight, MemberStatementKind kind) {
  return Append(flight, MemberStatement{kind});
}

std::size_t AppendCaller(const StatementRequest& request, Flight& flight) {
  MemberStatement statement;
  statement.caller = request.statement;
  return Append(flight, std::move(statement));
}

void AppendClaim(const StatementRequest& request, const std::string& digest,
                 Flight& flight) {
  MemberStatement claim;
  claim.kind = MemberStatementKind::kClaimRecord;
  claim.request_id = request.request_id;
  claim.digest = digest;
  flight.identifier = Append(flight, std::move(claim));
}

void AppendRead(const StatementRequest& request, Flight& flight) {
  flight.status_before = Append(flight, MemberStatementKind::kState);
  flight.statement = AppendCaller(request, flight);
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

void AppendWrite(const StatementRequest& request, Flight& flight) {
  Append(flight, MemberStatementKind::kBegin);
  flight.statement = AppendCaller(request, flight);
  flight.commit = Append(flight, MemberStatementKind::kCommit);
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

// The state stands after the row of the identifier: a row that another
// transaction holds is waited for, and the term has to be the one in which the
// wait ended.
void AppendClaimedWrite(const StatementRequest& request, Flight& flight) {
  Append(flight, MemberStatementKind::kBegin);
  AppendClaim(request, StatementDigest(request.statement), flight);
  flight.status_before = Append(flight, MemberStatementKind::kState);
  flight.statement = AppendCaller(request, flight);
}

void AppendStore(const StatementRequest& request, const std::string& answer,
                 Flight& flight) {
  MemberStatement store;
  store.kind = MemberStatementKind::kStoreAnswer;
  store.request_id = request.request_id;
  store.answer = answer;
  Append(flight, std::move(store));
  flight.commit = Append(flight, MemberStatementKind::kCommit);
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

void AppendFind(const StatementRequest& request, Flight& flight) {
  Append(flight, MemberStatementKind::kRollback);
  MemberStatement find;
  find.kind = MemberStatementKind::kFindRecord;
  find.request_id = request.request_id;
  flight.identifier = Append(flight, std::move(find));
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

void AppendVoid(const StatementRequest& request, Flight& flight) {
  Append(flight, MemberStatementKind::kBegin);
  AppendClaim(request, kVoidDigest, flight);
  flight.status_before = Append(flight, MemberStatementKind::kState);
  flight.commit = Append(flight, MemberStatementKind::kCommit);
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

void AppendBegin(const StatementRequest& request, Flight& flight) {
  Append(flight, MemberStatementKind::kBegin);
  if (!request.request_id.Empty()) {
    AppendClaim(request, kTransactionDigest, flight);
  }
  flight.status_before = Append(flight, MemberStatementKind::kState);
}

void AppendCommit(const StatementRequest& request, Flight& flight) {
  if (!request.request_id.Empty()) {
    AppendClaim(request, kTransactionDigest, flight);
  }
  flight.commit = Append(flight, MemberStatementKind::kCommit);
  flight.status_after = Append(flight, MemberStatementKind::kState);
}

}  // namespace

Flight BuildFlight(FlightKind kind, const StatementRequest& request,
                   const std::string& answer) {
  Flight flight;
  flight.kind = kind;
  switch (kind) {
    case FlightKind::kRead:
      AppendRead(request, flight);
      break;
    case FlightKind::kWrite:
      AppendWrite(request, flight);
      break;
    case FlightKind::kClaim:
      AppendClaimedWrite(request, flight);
      break;
    case FlightKind::kStore:
      AppendStore(request, answer, flight);
      break;
    case FlightKind::kFind:
      AppendFind(request, flight);
      break;
    case FlightKind::kCreateTable:
      Append(flight, MemberStatementKind::kRollback);
      flight.status_before = Append(flight, MemberStatementKind::kState);
      Append(flight, MemberStatementKind::kCreateRecords);
      break;
    case FlightKind::kVoid:
      AppendVoid(request, flight);
      break;
    case FlightKind::kBegin:
      AppendBegin(request, flight);
      break;
    case FlightKind::kStatement:
      flight.statement = AppendCaller(request, flight);
      break;
    case FlightKind::kCommit:
      AppendCommit(request, flight);
      break;
    case FlightKind::kRollback:
    case FlightKind::kCleanUp:
      Append(flight, MemberStatementKind::kRollback);
      break;
  }
  return flight;
}

}  // namespace lacewingferry
