#include "lacewingferry/adapters/msgpack/peer_codec.h"

#include "lacewingferry/adapters/msgpack/field_codec.h"

namespace lacewingferry {
namespace {

/** The first byte of each message. Raised when an old process would misread
 * a new message. */
constexpr char kPeerFormatVersion = 1;

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return std::string(1, kPeerFormatVersion) + detail::EncodeFields(message);
}

PeerMessage DecodePeerMessage(const char* bytes, std::size_t size) {
  if (size == 0) throw DecodeError("empty peer message");
  if (bytes[0] != kPeerFormatVersion) {
    throw DecodeError("peer message of format " +
                      std::to_string(static_cast<unsigned char>(bytes[0])));
  }
  return detail::DecodeFields<PeerMessage>(bytes + 1, size - 1);
}

}  // namespace lacewingferry
