#ifndef LACEWINGFERRY_ADAPTERS_MSGPACK_PEER_CODEC_H_
#define LACEWINGFERRY_ADAPTERS_MSGPACK_PEER_CODEC_H_

// Defines the MessagePack form of messages between processes.

#include <cstddef>
#include <string>

#include "lacewingferry/core/messages/peer_message.h"

namespace lacewingferry {

/** Encodes a message. */
std::string EncodePeerMessage(const PeerMessage& message);

/** Decodes a message. Throws DecodeError for bytes that are no whole message
 * of this version. */
PeerMessage DecodePeerMessage(const char* bytes, std::size_t size);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_MSGPACK_PEER_CODEC_H_
