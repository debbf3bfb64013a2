#ifndef LACEWINGFERRY_ADAPTERS_JSON_STORED_ANSWER_JSON_H_
#define LACEWINGFERRY_ADAPTERS_JSON_STORED_ANSWER_JSON_H_

// Defines the JSON form in which the answer of an identified request is kept
// in its database.

#include <string>

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Writes an answer. Bytes that are no UTF-8 are replaced. */
std::string FormatStoredAnswer(const ResultSet& answer);

/** Reads an answer. Throws DecodeError for text of another form. */
ResultSet ParseStoredAnswer(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_JSON_STORED_ANSWER_JSON_H_
