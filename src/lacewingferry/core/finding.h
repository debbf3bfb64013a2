#ifndef LACEWINGFERRY_CORE_FINDING_H_
#define LACEWINGFERRY_CORE_FINDING_H_

// Defines Finding, one mistake with its place, and FindingsError, which
// reports all of them together.

#include <string>
#include <vector>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

/** A place in a user's document. Lines and columns count from 1; 0 means the
 * document as a whole. */
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
};

/** One mistake in a user's document. */
struct Finding {
  Place place;
  std::string message;
};

/** Formats findings one a line, as file:line:column: message. */
std::string FormatFindings(const std::vector<Finding>& findings);

/** All mistakes found in one document. */
class FindingsError : public UserError {
 public:
  explicit FindingsError(std::vector<Finding> found);

  /** The mistakes in the order of their places. */
  const std::vector<Finding>& Findings() const { return this->findings; }

 private:
  std::vector<Finding> findings;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_FINDING_H_
