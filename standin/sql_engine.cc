#include "standin/sql_engine.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace lacewingferry::standin {
namespace {

std::string MakeTemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "standin-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw UserError("can't make a temporary folder " + name);
  }
  return name;
}

std::string MakeFolder(const std::string& name) {
  std::error_code error;
  std::filesystem::remove_all(name, error);
  std::filesystem::create_directory(name, error);
  if (error) throw UserError("can't make " + name + ": " + error.message());
  return name;
}

}  // namespace

SqlEngine::SqlEngine(const std::string& data_folder)
    : folder(data_folder.empty() ? MakeTemporaryFolder()
                                 : MakeFolder(data_folder + "/engine")) {
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
