#include "bench/processes/file_text.h"

#include <fstream>
#include <sstream>

namespace lacewingferry::processes {

std::string FileText(const std::string& path) {
  const std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace lacewingferry::processes
