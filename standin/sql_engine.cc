#include "standin/sql_engine.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace lacewingferry::standin {

SqlEngine::SqlEngine() {
  std::string name =
      (std::filesystem::temp_directory_path() / "standin-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw UserError("can't make a temporary folder " + name);
  }
  this->folder = name;
  this->Reset();
}

SqlEngine::~SqlEngine() {
  this->writer.reset();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::unique_ptr<SqlConnection> SqlEngine::Open() const {
  return std::make_unique<SqlConnection>(this->path);
}

void SqlEngine::Apply(const LogEntry& entry) {
  this->writer->Begin();
  try {
    for (const SqlStatement& statement : entry.statements) {
      this->writer->Run(statement);
    }
    this->writer->Commit();
  } catch (const SqlError&) {
    this->writer->Rollback();
    throw;
  }
}

void SqlEngine::Reset() {
  this->writer.reset();
  std::error_code ignored;
  for (const char* suffix : {"", "-wal", "-shm"}) {
    std::filesystem::remove(this->path + suffix, ignored);
  }
  ++this->generation;
  this->path = this->folder + "/" + std::to_string(this->generation) + ".db";
  this->writer = this->Open();
}

}  // namespace lacewingferry::standin
