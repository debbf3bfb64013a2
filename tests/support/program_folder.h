#ifndef TESTS_SUPPORT_PROGRAM_FOLDER_H_
#define TESTS_SUPPORT_PROGRAM_FOLDER_H_

// Defines ProgramFolder, where tests find the programs that they start.

#include <string>

namespace lacewingferry::testing {

/** The folder in the environment variable FERRY_BINARY_DIR; a failed assertion
 * where it isn't set. */
std::string ProgramFolder();

}  // namespace lacewingferry::testing

#endif  // TESTS_SUPPORT_PROGRAM_FOLDER_H_
