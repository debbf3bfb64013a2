#include "standin/postgres_request.h"

#include <cstdint>
#include <string_view>

#include "lacewingferry/core/errors.h"

namespace lacewingferry::standin {
namespace {

/** Reads the fields of a body in order. */
class BodyReader {
 public:
  explicit BodyReader(std::string_view body) : rest(body) {}

  char Byte() { return this->Bytes(1)[0]; }

  std::int32_t Integer(std::size_t bytes) {
    std::uint32_t value = 0;
    for (const char c : this->Bytes(bytes)) {
      value = (value << 8U) | static_cast<unsigned char>(c);
    }
    if (bytes == sizeof(std::int16_t)) return static_cast<std::int16_t>(value);
    return static_cast<std::int32_t>(value);
  }

  std::string Text() {
    const auto end = this->rest.find('\0');
    if (end == std::string_view::npos) throw DecodeError("unterminated text");
    std::string text(this->rest.substr(0, end));
    this->rest.remove_prefix(end + 1);
    return text;
  }

  std::string_view Bytes(std::size_t count) {
    if (this->rest.size() < count) throw DecodeError("short message body");
    const std::string_view bytes = this->rest.substr(0, count);
    this->rest.remove_prefix(count);
    return bytes;
  }

 private:
  std::string_view rest;
};

std::int32_t ReadCount(BodyReader& reader) {
  const std::int32_t count = reader.Integer(sizeof(std::int16_t));
  if (count < 0) throw DecodeError("negative count");
  return count;
}

void ReadTextFormats(BodyReader& reader) {
  const std::int32_t count = ReadCount(reader);
  for (std::int32_t i = 0; i < count; ++i) {
    if (reader.Integer(sizeof(std::int16_t)) != 0) {
      throw DecodeError("binary format");
    }
  }
}

SqlValue ReadParameter(BodyReader& reader) {
  const std::int32_t length = reader.Integer(sizeof(std::int32_t));
  if (length == -1) return std::nullopt;
  if (length < 0) throw DecodeError("negative parameter length");
  return std::string(reader.Bytes(static_cast<std::size_t>(length)));
}

BindRequest ReadBind(BodyReader& reader) {
  BindRequest bind;
  bind.portal = reader.Text();
  bind.statement = reader.Text();
  ReadTextFormats(reader);
  const std::int32_t count = ReadCount(reader);
  for (std::int32_t i = 0; i < count; ++i) {
    bind.parameters.push_back(ReadParameter(reader));
  }
  ReadTextFormats(reader);
  return bind;
}

ParseRequest ReadParse(BodyReader& reader) {
  ParseRequest parse;
  parse.statement = reader.Text();
  parse.sql = reader.Text();
  return parse;
}

/** Reads the kind and name of a Describe or Close message. */
template <typename Request>
Request ReadNamed(BodyReader& reader) {
  Request request;
  request.kind = reader.Byte();
  if (request.kind != 'S' && request.kind != 'P') {
    throw DecodeError("neither a statement nor a portal");
  }
  request.name = reader.Text();
  return request;
}

}  // namespace

PostgresRequest DecodePostgresRequest(const PostgresFrame& frame) {
  BodyReader reader(frame.body);
  switch (frame.type) {
    case 'Q':
      return QueryRequest{reader.Text()};
    case 'P':
      return ReadParse(reader);
    case 'B':
      return ReadBind(reader);
    case 'D':
      return ReadNamed<DescribeRequest>(reader);
    case 'E':
      return ExecuteRequest{reader.Text()};
    case 'C':
      return ReadNamed<CloseRequest>(reader);
    case 'S':
      return SyncRequest{};
    case 'H':
      return FlushRequest{};
    case 'X':
      return TerminateRequest{};
    default:
      throw DecodeError("message type " + std::to_string(frame.type));
  }
}

}  // namespace lacewingferry::standin
