#ifndef LACEWINGFERRY_ADAPTERS_JSON_RESULT_JSON_H_
#define LACEWINGFERRY_ADAPTERS_JSON_RESULT_JSON_H_

// Defines the text form in which the answers of identified requests are
// stored in the database.

#include <string>

#include "lacewingferry/core/statement.h"

namespace lacewingferry {

/** Writes a result as JSON. */
std::string EncodeResult(const ResultSet& result);

/** Reads a result. Throws DecodeError for other text. */
ResultSet DecodeResult(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_JSON_RESULT_JSON_H_
