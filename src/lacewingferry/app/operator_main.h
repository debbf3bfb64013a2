#ifndef LACEWINGFERRY_APP_OPERATOR_MAIN_H_
#define LACEWINGFERRY_APP_OPERATOR_MAIN_H_

// Defines OperatorMain, the whole of ferryctl.

namespace lacewingferry {

/** Runs a command line and returns the exit status: 0 done, 1 refused, 2 a
 * mistake of the user, 3 no control process answered. */
int OperatorMain(int argc, const char* const* argv);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_OPERATOR_MAIN_H_
