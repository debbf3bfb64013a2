#ifndef LACEWINGFERRY_CORE_FRACTIONAL_MILLISECONDS_H_
#define LACEWINGFERRY_CORE_FRACTIONAL_MILLISECONDS_H_

// Defines FractionalMilliseconds, a length of time as reports print it.

#include <chrono>

namespace lacewingferry {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_FRACTIONAL_MILLISECONDS_H_
