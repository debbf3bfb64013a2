#ifndef LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_
#define LACEWINGFERRY_DECISIONS_EXECUTION_REQUEST_RECORD_H_

// Defines what is recorded of an identified request so that it runs at most
// once: the digest of what it asks for, and how its answer is stored.

#include <functional>
#include <string>

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

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
