#ifndef LACEWINGFERRY_ADAPTERS_TCP_PEER_FRAME_H_
#define LACEWINGFERRY_ADAPTERS_TCP_PEER_FRAME_H_

// Defines how messages between processes are framed on a TCP connection: the
// published TCP mapping of the SP protocols, with the pipeline protocol that
// nng calls push and pull.

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingferry {

/** The bytes that each side sends first; they name its protocol. */
constexpr std::size_t kGreetingBytes = 8;
using PeerGreeting = std::array<char, kGreetingBytes>;

/** What the side that sends messages opens with. */
constexpr PeerGreeting kSenderGreeting{'\0', 'S', 'P',  '\0',
                                       '\0', 'P', '\0', '\0'};
/** What the side that receives messages opens with. */
constexpr PeerGreeting kReceiverGreeting{'\0', 'S', 'P',  '\0',
                                         '\0', 'Q', '\0', '\0'};

/** A message's bytes after their length. */
std::string FramePeerMessage(const std::string& message);

/** Cuts the bytes of a connection into messages. Memory grows with the bytes
 * that arrived, not with the length that a frame claims. */
class PeerFrameReader {
 public:
  /** Where the next bytes of the connection go. */
  struct Space {
    char* data;
    std::size_t size;
  };

  PeerFrameReader(const PeerGreeting& expected_greeting,
                  std::size_t max_message_bytes);

  /** Room for bytes to come; valid until the next call. */
  Space PrepareSpace();

  /** Adds the first size bytes of the space. */
  void AddReceived(std::size_t size);

  /** The next whole message, valid until PrepareSpace; none if more bytes are
   * needed. Throws DecodeError for another greeting, and for a message that
   * is too long. */
  std::optional<std::string_view> TakeMessage();

 private:
  std::size_t Unread() const { return this->end - this->begin; }
  bool TakeGreeting();
  std::optional<std::size_t> MessageLength() const;
  std::size_t WantedSpace() const;

  PeerGreeting greeting;
  std::size_t max_message_bytes;
  bool greeted = false;
  std::vector<char> bytes;
  std::size_t begin = 0;
  std::size_t end = 0;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_TCP_PEER_FRAME_H_
