#include "tests/support/temporary_file.h"

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

TemporaryFile::TemporaryFile(const std::string& content)
    : path((std::filesystem::temp_directory_path() / "ferry_XXXXXX").string()) {
  const int descriptor = mkstemp(this->path.data());
  if (descriptor < 0) {
    throw InternalError("no temporary file can be made");
  }
  close(descriptor);
  std::ofstream stream(this->path, std::ios::binary);
  stream << content;
  if (!stream.flush()) {
    throw InternalError("a temporary file can't be written");
  }
}

TemporaryFile::~TemporaryFile() {
  std::error_code ignored;
  std::filesystem::remove(this->path, ignored);
}

std::string TemporaryFile::Content() const {
  std::ifstream stream(this->path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>());
}

}  // namespace lacewingferry
