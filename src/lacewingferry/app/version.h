#ifndef LACEWINGFERRY_APP_VERSION_H_
#define LACEWINGFERRY_APP_VERSION_H_

// Defines the version that all programs report.

namespace lacewingferry {

/** The version of this build, for example 0.1.0. */
const char* Version();

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_VERSION_H_
