#ifndef STANDIN_POSTGRES_REQUEST_H_
#define STANDIN_POSTGRES_REQUEST_H_

// Defines DecodePostgresRequest, which turns a client's frame into a typed
// request.

#include <string>
#include <variant>
#include <vector>

#include "lacewingferry/core/statement.h"
#include "standin/postgres_frame.h"

namespace lacewingferry::standin {

/** A simple query: one or more statements. */
struct QueryRequest {
  std::string sql;
};

/** Prepares a statement under a name. */
struct ParseRequest {
  std::string statement;
  std::string sql;
};

/** Binds a statement to parameters in text format as a portal. */
struct BindRequest {
  std::string portal;
  std::string statement;
  std::vector<SqlValue> parameters;
};

/** Asks for the columns of a statement ('S') or of a portal ('P'). */
struct DescribeRequest {
  char kind = 'S';
  std::string name;
};

/** Runs a portal to its end. */
struct ExecuteRequest {
  std::string portal;
};

/** Closes a statement ('S') or a portal ('P'). */
struct CloseRequest {
  char kind = 'S';
  std::string name;
};

/** Ends a batch of the extended protocol. */
struct SyncRequest {};

/** Asks for the answers so far. */
struct FlushRequest {};

/** Ends the session. */
struct TerminateRequest {};

/** Any request of a client after startup. */
using PostgresRequest =
    std::variant<QueryRequest, ParseRequest, BindRequest, DescribeRequest,
                 ExecuteRequest, CloseRequest, SyncRequest, FlushRequest,
                 TerminateRequest>;

/** Decodes a frame. Throws DecodeError for a type that isn't served, a body
 * that is cut short, and parameters or results in binary format. */
PostgresRequest DecodePostgresRequest(const PostgresFrame& frame);

}  // namespace lacewingferry::standin

#endif  // STANDIN_POSTGRES_REQUEST_H_
