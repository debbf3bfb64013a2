#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

std::uint64_t HashText(std::uint64_t hash, const std::string& text) {
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

/** Mixes the bits of an FNV hash, whose high bits hardly depend on the last
 * characters. */
std::uint64_t MixBits(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33U);
}

}  // namespace

std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate) {
  constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
  return MixBits(HashText(HashText(kFnvOffset, key) ^ '/', candidate));
}

}  // namespace lacewingferry
