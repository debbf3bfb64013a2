#include "tests/support/fuzz.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lacewingferry::testing {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kMostChanges = 4;
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kLongestRepeated = 8;
constexpr std::size_t kMostRepeats = 64;
/** One in so many repetitions is long enough to exhaust a decoder that calls
 * itself for each level. */
constexpr std::size_t kDeepOneIn = 64;
constexpr std::size_t kDeepRepeats = 100'000;
constexpr std::size_t kMostShownBytes = 200;

/** What opens a level in the forms that the decoders read: JSON and YAML, and
 * MessagePack's arrays of one and of very many values. */
const std::array<std::string, 6> kOpenings{
    "[", "{\"a\":", "- ", "\x91", "\xdd\xff\xff\xff\xff", "{a: "};

/** What ends or begins a part in a text. */
const std::string kDelimiters = " ?:,;{}[]\"'\r\n#&*-";

/** Numbers at which lengths, ports and counts go wrong. */
const std::array<std::string, 10> kLengths{std::string(4, '\0'),
                                           "\xff\xff\xff\xff",
                                           "\x7f\xff\xff\xff",
                                           std::string("\x80\0\0\0", 4),
                                           "\xff\xff",
                                           "0",
                                           "-1",
                                           "65536",
                                           "4294967296",
                                           "18446744073709551616"};

}  // namespace

Mutator::Mutator(std::vector<std::string> valid_samples)
    : samples(std::move(valid_samples)), random(kSeed) {}

std::string Mutator::Next() {
  std::string bytes = this->AnySample();
  const std::size_t changes = 1 + this->Pick(kMostChanges);
  for (std::size_t i = 0; i < changes; ++i) this->Change(bytes);
  return bytes;
}

void Mutator::Change(std::string& bytes) {
  const std::size_t at = this->Pick(bytes.size() + 1);
  const std::size_t left = bytes.size() - at;
  switch (this->Pick(7)) {
    case 0:
      if (left > 0) {
        bytes[at] =
            static_cast<char>(bytes[at] ^ (1U << this->Pick(kBitsPerByte)));
      }
      break;
    case 1:
      bytes.resize(at);
      break;
    case 2:
      bytes.erase(at, this->Pick(2) == 0 ? 1 : this->Pick(left + 1));
      break;
    case 3: {
      const std::string& other = this->AnySample();
      bytes = bytes.substr(0, at) + other.substr(this->Pick(other.size() + 1));
      break;
    }
    case 4:
      this->Repeat(bytes);
      break;
    case 5:
      if (left > 0) bytes[at] = kDelimiters[this->Pick(kDelimiters.size())];
      break;
    default:
      this->ReplaceLength(bytes);
  }
}

void Mutator::Repeat(std::string& bytes) {
  const std::size_t at = this->Pick(bytes.size() + 1);
  const bool opens = this->Pick(2) == 0;
  const std::string part = opens
                               ? kOpenings[this->Pick(kOpenings.size())]
                               : bytes.substr(at, this->Pick(kLongestRepeated));
  const std::size_t times =
      this->Pick(kDeepOneIn) == 0 ? kDeepRepeats : this->Pick(kMostRepeats);
  std::string repeated;
  repeated.reserve(part.size() * times);
  for (std::size_t i = 0; i < times; ++i) repeated += part;
  bytes.insert(at, repeated);
}

void Mutator::ReplaceLength(std::string& bytes) {
  const std::string& length = kLengths[this->Pick(kLengths.size())];
  const std::size_t at = this->Pick(bytes.size() + 1);
  bytes.replace(at, std::min(length.size(), bytes.size() - at), length);
}

std::size_t Mutator::Pick(std::size_t below) { return this->random() % below; }

const std::string& Mutator::AnySample() {
  return this->samples[this->Pick(this->samples.size())];
}

void FailFuzz(std::size_t number, const std::string& input,
              const std::string& seen) {
  std::string hex;
  for (const char c : input.substr(0, kMostShownBytes)) {
    const unsigned byte = static_cast<unsigned char>(c);
    hex += "0123456789abcdef"[byte / 16];
    hex += "0123456789abcdef"[byte % 16];
  }
  CPPUNIT_FAIL("input " + std::to_string(number) + " of " +
               std::to_string(input.size()) + " bytes, " + hex + ": " + seen);
  std::abort();
}

}  // namespace lacewingferry::testing
