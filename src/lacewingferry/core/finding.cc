#include "lacewingferry/core/finding.h"

#include <sstream>
#include <utility>

namespace lacewingferry {

std::string FormatFindings(const std::vector<Finding>& findings) {
  std::ostringstream out;
  for (const Finding& finding : findings) {
    out << finding.place.file << ":" << finding.place.line << ":"
        << finding.place.column << ": " << finding.message << "\n";
  }
  return out.str();
}

FindingsError::FindingsError(std::vector<Finding> found)
    : UserError(FormatFindings(found)), findings(std::move(found)) {}

}  // namespace lacewingferry
