#include "lacewingferry/decisions/execution/flight.h"

#include <utility>

namespace lacewingferry {
namespace {

std::size_t Append(Flight& flight, SqlStatement statement) {
  flight.batch.statements.push_back(std::move(statement));
  return flight.batch.statements.size() - 1;
}

void AppendClaim(const StatementRequest& request, const FlightSql& sql,
                 const std::string& digest, Flight& flight) {
  flight.identifier =
      Append(flight, {sql.record.claim, {request.request_id.Value(), digest}});
}

void AppendRead(const StatementRequest& request, const FlightSql& sql,
                Flight& flight) {
  flight.status_before = Append(flight, {sql.status, {}});
  flight.statement = Append(flight, request.statement);
  flight.status_after = Append(flight, {sql.status, {}});
}

void AppendWrite(const StatementRequest& request, const FlightSql& sql,
                 Flight& flight) {
  Append(flight, {"BEGIN", {}});
  flight.statement = Append(flight, request.statement);
  flight.commit = Append(flight, {"COMMIT", {}});
  flight.status_after = Append(flight, {sql.status, {}});
}

// The state stands after the row of the identifier: a row that another
// transaction holds is waited for, and the term has to be the one in which the
// wait ended.
void AppendClaimedWrite(const StatementRequest& request, const FlightSql& sql,
                        Flight& flight) {
  Append(flight, {"BEGIN", {}});
  AppendClaim(request, sql, StatementDigest(request.statement), flight);
  flight.status_before = Append(flight, {sql.status, {}});
  flight.statement = Append(flight, request.statement);
}

void AppendStore(const StatementRequest& request, const FlightSql& sql,
                 const std::string& answer, Flight& flight) {
  Append(flight, {sql.record.store, {request.request_id.Value(), answer}});
  flight.commit = Append(flight, {"COMMIT", {}});
  flight.status_after = Append(flight, {sql.status, {}});
}

void AppendFind(const StatementRequest& request, const FlightSql& sql,
                Flight& flight) {
  Append(flight, {"ROLLBACK", {}});
  flight.identifier =
      Append(flight, {sql.record.find, {request.request_id.Value()}});
  flight.status_after = Append(flight, {sql.status, {}});
}

void AppendVoid(const StatementRequest& request, const FlightSql& sql,
                Flight& flight) {
  Append(flight, {"BEGIN", {}});
  AppendClaim(request, sql, kVoidDigest, flight);
  flight.status_before = Append(flight, {sql.status, {}});
  flight.commit = Append(flight, {"COMMIT", {}});
  flight.status_after = Append(flight, {sql.status, {}});
}

void AppendBegin(const StatementRequest& request, const FlightSql& sql,
                 Flight& flight) {
  Append(flight, {"BEGIN", {}});
  if (!request.request_id.Empty()) {
    AppendClaim(request, sql, kTransactionDigest, flight);
  }
  flight.status_before = Append(flight, {sql.status, {}});
}

void AppendCommit(const StatementRequest& request, const FlightSql& sql,
                  Flight& flight) {
  if (!request.request_id.Empty()) {
    AppendClaim(request, sql, kTransactionDigest, flight);
  }
  flight.commit = Append(flight, {"COMMIT", {}});
  flight.status_after = Append(flight, {sql.status, {}});
}

}  // namespace

Flight BuildFlight(FlightKind kind, const StatementRequest& request,
                   const FlightSql& sql, const std::string& answer) {
  Flight flight;
  flight.kind = kind;
  switch (kind) {
    case FlightKind::kRead:
      AppendRead(request, sql, flight);
      break;
    case FlightKind::kWrite:
      AppendWrite(request, sql, flight);
      break;
    case FlightKind::kClaim:
      AppendClaimedWrite(request, sql, flight);
      break;
    case FlightKind::kStore:
      AppendStore(request, sql, answer, flight);
      break;
    case FlightKind::kFind:
      AppendFind(request, sql, flight);
      break;
    case FlightKind::kCreateTable:
      Append(flight, {"ROLLBACK", {}});
      flight.status_before = Append(flight, {sql.status, {}});
      Append(flight, {sql.record.create, {}});
      break;
    case FlightKind::kVoid:
      AppendVoid(request, sql, flight);
      break;
    case FlightKind::kBegin:
      AppendBegin(request, sql, flight);
      break;
    case FlightKind::kStatement:
      flight.statement = Append(flight, request.statement);
      break;
    case FlightKind::kCommit:
      AppendCommit(request, sql, flight);
      break;
    case FlightKind::kRollback:
    case FlightKind::kCleanUp:
      Append(flight, {"ROLLBACK", {}});
      break;
  }
  return flight;
}

}  // namespace lacewingferry
