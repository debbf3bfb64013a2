#ifndef LACEWINGFERRY_CORE_DURATION_TEXT_H_
#define LACEWINGFERRY_CORE_DURATION_TEXT_H_

// Defines how users write a length of time: a whole number with its unit.

#include <chrono>
#include <optional>
#include <string>

namespace lacewingferry {

/** Reads a whole number with its unit: ms, s, min or h, for example 250ms.
 * Returns nothing for any other text and for more than 10^9 units. */
std::optional<std::chrono::milliseconds> ParseDuration(const std::string& text);

/** Writes a duration in milliseconds, as ParseDuration reads it. */
std::string FormatDuration(std::chrono::milliseconds duration);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_DURATION_TEXT_H_
