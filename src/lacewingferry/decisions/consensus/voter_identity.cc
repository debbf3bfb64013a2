#include "lacewingferry/decisions/consensus/voter_identity.h"

#include <string>
#include <variant>

namespace lacewingferry {
namespace {

constexpr char kIdentityFile[] = "identity";

/** Hexadecimal digits of an identity: 48 random bits. Two of nine VMs get the
 * same identity in about one of 10^12 fleets. */
constexpr int kIdentityDigits = 12;

constexpr char kDigits[] = "0123456789abcdef";

VoterId RandomIdentity(std::mt19937_64& random) {
  std::uniform_int_distribution<int> digit(0, 15);
  std::string text;
  for (int i = 0; i < kIdentityDigits; ++i) text += kDigits[digit(random)];
  return VoterId(text);
}

/** Reads the identity from disk; empty if there is none. */
VoterId LoadIdentity(const StoragePort& storage, const LogCodecPort& codec) {
  const auto records = storage.read(kIdentityFile);
  if (records.empty()) return VoterId();
  const LogRecord record = codec.decode(records.front());
  if (const auto* identity = std::get_if<IdentityRecord>(&record)) {
    return identity->voter;
  }
  throw StorageError("identity: contains a record of another type");
}

}  // namespace

VoterId LoadOrCreateIdentity(const StoragePort& storage,
                             const LogCodecPort& codec,
                             std::mt19937_64& random) {
  VoterId stored = LoadIdentity(storage, codec);
  if (!stored.Empty()) return stored;
  return StoreIdentity(storage, codec, RandomIdentity(random));
}

VoterId StoreIdentity(const StoragePort& storage, const LogCodecPort& codec,
                      const VoterId& identity) {
  VoterId stored = LoadIdentity(storage, codec);
  if (!stored.Empty()) return stored;
  storage.replace(kIdentityFile, {codec.encode(IdentityRecord{identity})});
  return identity;
}

}  // namespace lacewingferry
