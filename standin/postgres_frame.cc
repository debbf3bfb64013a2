#include "standin/postgres_frame.h"

#include <cstdint>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::standin {
namespace {

/** The bytes of a length field, which counts itself. */
constexpr std::size_t kLengthBytes = 4;

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

}  // namespace

void PostgresFrameReader::Feed(std::string_view bytes) {
  this->buffer.erase(0, this->taken);
  this->taken = 0;
  this->buffer.append(bytes);
}

std::optional<PostgresFrame> PostgresFrameReader::NextStartup() {
  return this->Take(0, kMaxStartupBytes);
}

std::optional<PostgresFrame> PostgresFrameReader::Next() {
  return this->Take(1, kMaxFrameBytes);
}

std::optional<PostgresFrame> PostgresFrameReader::Take(std::size_t type_bytes,
                                                       std::size_t max_bytes) {
  std::string_view rest = this->buffer;
  rest.remove_prefix(this->taken);
  if (rest.size() < type_bytes + kLengthBytes) return std::nullopt;
  const std::size_t length = ReadLength(rest.substr(type_bytes));
  if (length < kLengthBytes || length > max_bytes) {
    throw DecodeError("frame length " + std::to_string(length));
  }
  if (rest.size() < type_bytes + length) return std::nullopt;
  PostgresFrame frame;
  if (type_bytes > 0) frame.type = rest[0];
  frame.body = std::string(
      rest.substr(type_bytes + kLengthBytes, length - kLengthBytes));
  this->taken += type_bytes + length;
  return frame;
}

}  // namespace lacewingferry::standin
