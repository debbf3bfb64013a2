#ifndef LACEWINGFERRY_DECISIONS_OWNERSHIP_RENDEZVOUS_H_
#define LACEWINGFERRY_DECISIONS_OWNERSHIP_RENDEZVOUS_H_

// Defines the weight by which rendezvous hashing ranks candidates.

#include <cstdint>
#include <string>

namespace lacewingferry {

/** The weight of a candidate for a key; the same in every process. The
 * candidate with the largest weight gets the key. */
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_DECISIONS_OWNERSHIP_RENDEZVOUS_H_
