#ifndef LACEWINGFERRY_TESTS_SUPPORT_NOTE_SAMPLES_H_
#define LACEWINGFERRY_TESTS_SUPPORT_NOTE_SAMPLES_H_

// Defines the release notes that several tests begin with.

#include <cstdint>
#include <string>

#include "lacewingferry/core/release_note.h"

namespace lacewingferry {

/** A proxy in nh-a with a peer_url of its own for each number. */
FrontProxy SampleProxy(int number);

/** A group of one database of the same name. */
DatabaseGroup SampleGroup(const std::string& name);

/** A note that names nothing yet. */
ReleaseNote EmptyNote(const std::string& id, std::uint64_t base_revision);

/** The first note of an empty system: permit-db with its staleness rule and
 * proxies 1 and 2. */
ReleaseNote FirstNote();

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_TESTS_SUPPORT_NOTE_SAMPLES_H_
