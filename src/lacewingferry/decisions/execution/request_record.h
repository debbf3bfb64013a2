#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_

// The record of a request with an identifier, which makes it run at most once:
// a digest of the statement and the encoded answer.

#include <functional>
#include <string>

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Encodes and decodes the answer column. Both may be empty: a resend is then
 * answered without the rows of the first run. */
struct AnswerCodec {
  std::function<std::string(const ResultSet&)> encode;
  /** Throws DecodeError for text that encode can't have written. */
  std::function<ResultSet(const std::string&)> decode;
};

/** The digest of a voided identifier, under which no request can run any more.
 */
extern const char kVoidDigest[];

/** The digest recorded for a transaction instead of a single statement. */
extern const char kTransactionDigest[];

/** A digest of the SQL text and parameters, independent of the platform. */
std::string StatementDigest(const SqlStatement& statement);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_
