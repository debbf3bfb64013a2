#ifndef LACEWINGFERRY_CORE_TIME_TEXT_H_
#define LACEWINGFERRY_CORE_TIME_TEXT_H_

// Defines the text form of times in logs and in the time line: FormatTime and
// its inverse.

#include <string>

#include "lacewingferry/core/hybrid_time.h"

namespace lacewingferry {

/** Writes a time as RFC 3339 in UTC with microseconds. */
std::string FormatTime(HybridTime time);

/** Reads what FormatTime writes. Throws UserError for other texts. */
HybridTime ParseTime(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_TIME_TEXT_H_
