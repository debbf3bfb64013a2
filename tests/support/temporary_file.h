#ifndef LACEWINGFERRY_TESTS_SUPPORT_TEMPORARY_FILE_H_
#define LACEWINGFERRY_TESTS_SUPPORT_TEMPORARY_FILE_H_

// Defines TemporaryFile, a file of given content that is removed at the end of
// a test.

#include <string>

namespace lacewingferry {

/** A file under the system's folder for temporary files. */
class TemporaryFile {
 public:
  /** Writes the file. Throws InternalError if it can't be written. */
  explicit TemporaryFile(const std::string& content);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Path() const { return this->path; }

  /** The file's present content. */
  std::string Content() const;

 private:
  std::string path;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_TESTS_SUPPORT_TEMPORARY_FILE_H_
