#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_

// Defines RequestRecordSql, the table in the callers' own database that makes
// an identified request run at most once.

#include <functional>
#include <string>

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/**
 * The statements on the table of identified requests. A request's row is
 * written in the same transaction as its effects and lives and dies with
 * them. digest tells whether a resend asks for the same; answer is what the
 * first run answered.
 */
struct RequestRecordSql {
  std::string create =
      "CREATE TABLE IF NOT EXISTS ferry_requests ("
      "request_id TEXT PRIMARY KEY, digest TEXT NOT NULL, answer TEXT)";
  /** Parameters: request_id, digest. Fails while another row of the
   * identifier is committed, and waits while one is uncommitted. */
  std::string claim =
      "INSERT INTO ferry_requests (request_id, digest) VALUES ($1, $2)";
  /** Parameters: request_id, answer. */
  std::string store =
      "UPDATE ferry_requests SET answer = $2 WHERE request_id = $1";
  /** Parameter: request_id. Columns: digest, answer. */
  std::string find =
      "SELECT digest, answer FROM ferry_requests WHERE request_id = $1";
};

/** Writes and reads the answer column. Both may be empty: then a resend is
 * told that the request ran, without its rows. */
struct AnswerCodec {
  std::function<std::string(const ResultSet&)> encode;
  /** Throws DecodeError for text that encode doesn't write. */
  std::function<ResultSet(const std::string&)> decode;
};

/** The digest of an identifier that was voided: no request can run under it
 * any longer. */
extern const char kVoidDigest[];

/** The digest of a whole transaction. */
extern const char kTransactionDigest[];

/** A digest of what a statement asks for, equal on all machines. */
std::string StatementDigest(const SqlStatement& statement);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_
