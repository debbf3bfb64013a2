#ifndef TESTS_SUPPORT_SOURCE_TEXT_H_
#define TESTS_SUPPORT_SOURCE_TEXT_H_

// Defines SourceText, the content of a file of the repository.

#include <string>

namespace lacewingferry::testing {

/** Reads a file below the folder in the environment variable
 * FERRY_SOURCE_DIR; a failed assertion where there is none. */
std::string SourceText(const std::string& path);

}  // namespace lacewingferry::testing

#endif  // TESTS_SUPPORT_SOURCE_TEXT_H_
