#include "lacewingferry/adapters/tcp/peer_frame.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {
namespace {

/** The length before each message: 64 bits, the highest byte first. */
constexpr std::size_t kLengthBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kMinSpace = 4U << 10U;
constexpr std::size_t kMaxSpace = 64U << 10U;

std::uint64_t ReadLength(const char* bytes) {
  std::uint64_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << kBitsPerByte | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

std::string FramePeerMessage(const std::string& message) {
  std::string frame(kLengthBytes, '\0');
  std::uint64_t length = message.size();
  for (std::size_t i = kLengthBytes; i > 0; --i) {
    frame[i - 1] = static_cast<char>(length & 0xFFU);
    length >>= kBitsPerByte;
  }
  return frame + message;
}

PeerFrameReader::PeerFrameReader(const PeerGreeting& expected_greeting,
                                 std::size_t longest_message)
    : greeting(expected_greeting), max_message_bytes(longest_message) {}

PeerFrameReader::Space PeerFrameReader::PrepareSpace() {
  if (this->begin > 0) {
    std::memmove(this->bytes.data(), this->bytes.data() + this->begin,
                 this->Unread());
    this->end -= this->begin;
    this->begin = 0;
  }
  if (this->end == 0 && this->bytes.size() > kMinSpace) {
    // A long message leaves no memory held behind.
    this->bytes = std::vector<char>();
  }
  const std::size_t wanted = this->end + this->WantedSpace();
  if (this->bytes.size() < wanted) this->bytes.resize(wanted);
  return {this->bytes.data() + this->end, this->bytes.size() - this->end};
}

std::size_t PeerFrameReader::WantedSpace() const {
  const std::optional<std::size_t> length = this->MessageLength();
  if (!length) return kMinSpace;
  const std::size_t missing = kLengthBytes + *length - this->Unread();
  return std::clamp(missing, kMinSpace, kMaxSpace);
}

void PeerFrameReader::AddReceived(std::size_t size) { this->end += size; }

std::optional<std::size_t> PeerFrameReader::MessageLength() const {
  if (!this->greeted || this->Unread() < kLengthBytes) return std::nullopt;
  return ReadLength(this->bytes.data() + this->begin);
}

bool PeerFrameReader::TakeGreeting() {
  if (this->greeted) return true;
  if (this->Unread() < kGreetingBytes) return false;
  if (!std::equal(this->greeting.begin(), this->greeting.end(),
                  this->bytes.data() + this->begin)) {
    throw DecodeError("the connection opens with another protocol");
  }
  this->begin += kGreetingBytes;
  this->greeted = true;
  return true;
}

std::optional<std::string_view> PeerFrameReader::TakeMessage() {
  if (!this->TakeGreeting()) return std::nullopt;
  const std::optional<std::size_t> length = this->MessageLength();
  if (!length) return std::nullopt;
  if (*length > this->max_message_bytes) {
    throw DecodeError("a message of " + std::to_string(*length) +
                      " bytes, more than " +
                      std::to_string(this->max_message_bytes));
  }
  if (this->Unread() < kLengthBytes + *length) return std::nullopt;
  const std::string_view message(
      this->bytes.data() + this->begin + kLengthBytes, *length);
  this->begin += kLengthBytes + *length;
  return message;
}

}  // namespace lacewingferry
