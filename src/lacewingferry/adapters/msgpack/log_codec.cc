#include "lacewingferry/adapters/msgpack/log_codec.h"

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry {
namespace {

/** The first byte of each record. Raised when an old process would misread a
 * new record. */
constexpr char kLogFormatVersion = 1;

std::string EncodeRecord(const LogRecord& record) {
  return std::string(1, kLogFormatVersion) + detail::EncodeFields(record);
}

LogRecord DecodeRecord(const std::string& bytes) {
  if (bytes.empty()) throw DecodeError("empty log record");
  if (bytes[0] != kLogFormatVersion) {
    throw DecodeError("log record of format " +
                      std::to_string(static_cast<unsigned char>(bytes[0])));
  }
  return detail::DecodeFields<LogRecord>(bytes.data() + 1, bytes.size() - 1);
}

}  // namespace

LogCodecPort MakeLogCodec() { return LogCodecPort{EncodeRecord, DecodeRecord}; }

}  // namespace lacewingferry
