#ifndef LACEWINGFERRY_CORE_DURATION_TEXT_H_
#define LACEWINGFERRY_CORE_DURATION_TEXT_H_

// Defines how users write a length of time: a whole number with its unit.

#include <chrono>
#include <string>

namespace lacewingferry {

/** Reads 250ms, 2s or 1min. Throws UserError for any other text, also for a
 * number without a unit, and for more than a year. */
std::chrono::milliseconds ParseDuration(const std::string& text);

/** Writes a duration as ParseDuration reads it, in milliseconds. */
std::string FormatDuration(std::chrono::milliseconds duration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_DURATION_TEXT_H_
