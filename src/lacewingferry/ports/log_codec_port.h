#ifndef LACEWINGFERRY_PORTS_LOG_CODEC_PORT_H_
#define LACEWINGFERRY_PORTS_LOG_CODEC_PORT_H_

// Defines the port that turns records of the control log into bytes and back.

#include <functional>
#include <string>

#include "lacewingferry/core/messages/log_records.h"

namespace lacewingferry {

/** Encodes records for the disk. */
struct LogCodecPort {
  std::function<std::string(const LogRecord&)> encode;
  /** Throws DecodeError for bytes that are no whole record. */
  std::function<LogRecord(const std::string&)> decode;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_PORTS_LOG_CODEC_PORT_H_
