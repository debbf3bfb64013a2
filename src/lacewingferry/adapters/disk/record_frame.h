#ifndef LACEWINGFERRY_ADAPTERS_DISK_RECORD_FRAME_H_
#define LACEWINGFERRY_ADAPTERS_DISK_RECORD_FRAME_H_

// Defines the form of records in a file: frames with checksums.

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingferry {

/** What a file holds. */
struct FrameContent {
  std::vector<std::string> records;
  /** The size of the whole frames at its start; more is a torn tail. */
  std::uint64_t whole_size = 0;
  /** Whether a whole frame follows a damaged one, so that the damage is no
   * torn tail. Then whole_size is the place of the damaged frame. */
  bool damaged = false;
};

/** One frame for the records of one write that starts at an offset of the
 * file. */
std::string EncodeFrame(std::uint64_t offset,
                        const std::vector<std::string>& records);

/** Reads the frames of a file. */
FrameContent DecodeFrames(const std::string& bytes);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_DISK_RECORD_FRAME_H_
