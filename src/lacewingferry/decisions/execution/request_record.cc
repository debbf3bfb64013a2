#include "lacewingferry/decisions/execution/request_record.h"

#include <array>
#include <cstdint>

namespace lacewingferry {

const char kVoidDigest[] = "void";
const char kTransactionDigest[] = "transaction";

namespace {

/** The 64-bit FNV-1a hash of a sequence of fields. */
class FieldHash {
 public:
  explicit FieldHash(std::uint64_t seed) : hash(seed) {}

  void Add(const std::string& text) {
    this->AddByte(1);
    for (const char c : text) this->AddByte(static_cast<unsigned char>(c));
    // The length keeps ("ab", "c") apart from ("a", "bc").
    this->AddNumber(text.size());
  }

  void AddNull() { this->AddByte(0); }

  std::uint64_t Value() const { return this->hash; }

 private:
  void AddByte(unsigned char byte) {
    constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
    this->hash = (this->hash ^ byte) * kFnvPrime;
  }

  void AddNumber(std::uint64_t number) {
    constexpr std::uint64_t kByteMask = 0xff;
    for (unsigned shift = 0; shift < 64; shift += 8) {
      this->AddByte(static_cast<unsigned char>((number >> shift) & kByteMask));
    }
  }

  std::uint64_t hash;
};

std::uint64_t HashStatement(const SqlStatement& statement, std::uint64_t seed) {
  FieldHash hash(seed);
  hash.Add(statement.sql);
  for (const SqlValue& value : statement.parameters) {
    if (value) {
      hash.Add(*value);
    } else {
      hash.AddNull();
    }
  }
  return hash.Value();
}

std::string HexText(std::uint64_t number) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(number >> static_cast<unsigned>(shift)) & 0xfU];
  }
  return text;
}

}  // namespace

std::string StatementDigest(const SqlStatement& statement) {
  // Two seeds give 128 bits, enough to rule out accidental collisions.
  constexpr std::array<std::uint64_t, 2> kSeeds = {14695981039346656037ULL,
                                                   0x9e3779b97f4a7c15ULL};
  return HexText(HashStatement(statement, kSeeds[0])) +
         HexText(HashStatement(statement, kSeeds[1]));
}

}  // namespace lacewingferry
