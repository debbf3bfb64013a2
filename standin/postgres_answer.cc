#include "standin/postgres_answer.h"

#include <array>
#include <cstddef>

namespace lacewingferry::standin {
namespace {

/** The type number of text in PostgreSQL's catalogue. */
constexpr std::uint32_t kTextType = 25;
/** The length field of a NULL column. */
constexpr std::uint32_t kNullLength = 0xFFFFFFFF;

/** The settings that a new session is told. */
constexpr std::array<std::array<const char*, 2>, 6> kSettings{
    {{"server_version", "15.0"},
     {"server_encoding", "UTF8"},
     {"client_encoding", "UTF8"},
     {"DateStyle", "ISO, MDY"},
     {"integer_datetimes", "on"},
     {"standard_conforming_strings", "on"}}};

std::string Integer(std::uint32_t value, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text.push_back(static_cast<char>((value >> (8U * (i - 1))) & 0xFFU));
  }
  return text;
}

std::string Int16(std::size_t value) {
  return Integer(static_cast<std::uint32_t>(value), sizeof(std::uint16_t));
}

std::string Int32(std::size_t value) {
  return Integer(static_cast<std::uint32_t>(value), sizeof(std::uint32_t));
}

/** Text up to its first zero byte, with one at the end. */
std::string Terminated(const std::string& text) {
  return text.substr(0, text.find('\0')) + '\0';
}

}  // namespace

void PostgresAnswer::Add(char type, const std::string& body) {
  this->bytes += type;
  this->bytes += Int32(body.size() + sizeof(std::uint32_t));
  this->bytes += body;
}

void PostgresAnswer::Welcome(std::uint32_t session_number) {
  this->Add('R', Int32(0));
  for (const auto& setting : kSettings) {
    this->Add('S', Terminated(setting[0]) + Terminated(setting[1]));
  }
  this->Add('K', Int32(session_number) + Int32(0));
}

void PostgresAnswer::ParameterDescription(int count) {
  std::string body = Int16(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) body += Int32(kTextType);
  this->Add('t', body);
}

void PostgresAnswer::RowDescription(const std::vector<std::string>& columns) {
  std::string body = Int16(columns.size());
  for (const std::string& column : columns) {
    body += Terminated(column);
    body += Int32(0) + Int16(0);
    body += Int32(kTextType) + Int16(0xFFFF) + Int32(kNullLength) + Int16(0);
  }
  this->Add('T', body);
}

void PostgresAnswer::DataRow(const std::vector<SqlValue>& row) {
  std::string body = Int16(row.size());
  for (const SqlValue& value : row) {
    body += Int32(value ? value->size() : kNullLength);
    if (value) body += *value;
  }
  this->Add('D', body);
}

void PostgresAnswer::CommandComplete(const std::string& tag) {
  this->Add('C', Terminated(tag));
}

void PostgresAnswer::Error(const SqlError& error, bool fatal) {
  const std::string severity = fatal ? "FATAL" : "ERROR";
  this->Add('E', "S" + Terminated(severity) + "V" + Terminated(severity) + "C" +
                     Terminated(error.Sqlstate()) + "M" +
                     Terminated(error.what()) + '\0');
}

void PostgresAnswer::ReadyForQuery(char status) {
  this->Add('Z', std::string(1, status));
}

}  // namespace lacewingferry::standin
