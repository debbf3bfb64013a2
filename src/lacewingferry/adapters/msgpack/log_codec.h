#ifndef LACEWINGFERRY_ADAPTERS_MSGPACK_LOG_CODEC_H_
#define LACEWINGFERRY_ADAPTERS_MSGPACK_LOG_CODEC_H_

// Defines the MessagePack form of the control log's records on disk.

#include "lacewingferry/ports/log_codec_port.h"

namespace lacewingferry {

/** A codec whose records start with a format version. Its decode throws
 * DecodeError for another version. */
LogCodecPort MakeLogCodec();

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_MSGPACK_LOG_CODEC_H_
