#ifndef LACEWINGFERRY_CORE_ERRORS_H_
#define LACEWINGFERRY_CORE_ERRORS_H_

// Defines the two roots of the system's exceptions: what a user can mend, and
// what only a maintainer can.

#include <stdexcept>
#include <string>

namespace lacewingferry {

/** A mistake in what a user gave: settings, a note, a request, an
 * announcement. The message names the thing and its value. */
class UserError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** A broken assumption of the code itself. */
class InternalError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/** A message or record whose bytes can't be decoded. */
class DecodeError : public UserError {
 public:
  using UserError::UserError;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_ERRORS_H_
