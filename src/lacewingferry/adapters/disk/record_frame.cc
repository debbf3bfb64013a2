#include "lacewingferry/adapters/disk/record_frame.h"

#include <cstddef>
#include <optional>

#define XXH_INLINE_ALL
#include <xxhash.h>

// A frame is:
//
//   8 bytes  length of the payload
//   8 bytes  checksum of the length, seeded with the frame's offset
//   8 bytes  checksum of the payload, seeded with the frame's offset
//   payload: for each record 8 bytes of length, then its bytes
//
// Numbers are little-endian, checksums XXH3. All records of a write share one
// frame, so that a torn write leaves all of them or none. The length has its
// own checksum, and both are bound to the offset: a damaged length can't hide
// the frames behind it, and bytes copied from elsewhere are no frame.
//
// A torn write is always the last: the process that met it stopped, and the
// next one cuts it. So a bad frame is a torn tail if no whole frame follows
// it anywhere, and damage otherwise.

namespace lacewingferry {
namespace {

constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kHeaderBytes = 3 * kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

void PutNumber(std::string& out, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    out += static_cast<char>(number >> (kBitsPerByte * i));
  }
}

std::uint64_t GetNumber(const char* bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]))
              << (kBitsPerByte * i);
  }
  return number;
}

std::uint64_t Checksum(const char* bytes, std::size_t size,
                       std::uint64_t offset) {
  return XXH3_64bits_withSeed(bytes, size, offset + 1);
}

/** The payload's size of a whole frame at an offset; none without one. */
std::optional<std::size_t> WholeFrameAt(const std::string& bytes,
                                        std::size_t offset) {
  const std::size_t left = bytes.size() - offset;
  if (left < kHeaderBytes) return std::nullopt;
  const char* header = bytes.data() + offset;
  const std::uint64_t length_checksum = GetNumber(header + kNumberBytes);
  if (Checksum(header, kNumberBytes, offset) != length_checksum) {
    return std::nullopt;
  }
  const std::uint64_t size = GetNumber(header);
  if (size > left - kHeaderBytes) return std::nullopt;
  const std::uint64_t expected = GetNumber(header + 2 * kNumberBytes);
  if (Checksum(header + kHeaderBytes, size, offset) != expected) {
    return std::nullopt;
  }
  return size;
}

void SplitRecords(const char* payload, std::size_t size,
                  std::vector<std::string>& records) {
  std::size_t at = 0;
  while (at + kNumberBytes <= size) {
    const std::size_t length = GetNumber(payload + at);
    at += kNumberBytes;
    records.emplace_back(payload + at, length);
    at += length;
  }
}

bool AnyWholeFrameAfter(const std::string& bytes, std::size_t offset) {
  for (std::size_t at = offset + 1; at + kHeaderBytes <= bytes.size(); ++at) {
    if (WholeFrameAt(bytes, at)) return true;
  }
  return false;
}

}  // namespace

std::string EncodeFrame(std::uint64_t offset,
                        const std::vector<std::string>& records) {
  std::string payload;
  for (const std::string& record : records) {
    PutNumber(payload, record.size());
    payload += record;
  }
  std::string frame;
  PutNumber(frame, payload.size());
  PutNumber(frame, Checksum(frame.data(), kNumberBytes, offset));
  PutNumber(frame, Checksum(payload.data(), payload.size(), offset));
  return frame + payload;
}

FrameContent DecodeFrames(const std::string& bytes) {
  FrameContent content;
  while (content.whole_size < bytes.size()) {
    const auto size = WholeFrameAt(bytes, content.whole_size);
    if (!size) {
      content.damaged = AnyWholeFrameAfter(bytes, content.whole_size);
      break;
    }
    SplitRecords(bytes.data() + content.whole_size + kHeaderBytes, *size,
                 content.records);
    content.whole_size += kHeaderBytes + *size;
  }
  return content;
}

}  // namespace lacewingferry
