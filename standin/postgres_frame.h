#ifndef STANDIN_POSTGRES_FRAME_H_
#define STANDIN_POSTGRES_FRAME_H_

// Defines PostgresFrameReader, which cuts the bytes of a client of PostgreSQL's
// protocol version 3 into frames.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingferry::standin {

/** One message of the protocol. A startup message has the type 0. */
struct PostgresFrame {
  char type = 0;
  std::string body;
};

/** Collects bytes and gives back whole frames. */
class PostgresFrameReader {
 public:
  /** The largest frame that is accepted, in bytes. */
  static constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;

  /** The largest startup message that is accepted, in bytes. */
  static constexpr std::size_t kMaxStartupBytes = 10000;

  /** Adds received bytes. */
  void Feed(std::string_view bytes);

  /** The bytes that wait to be taken. */
  std::size_t Waiting() const { return this->buffer.size() - this->taken; }

  /** Takes the next startup message, which has no type byte; none while it
   * isn't whole. Throws DecodeError for a length out of range. */
  std::optional<PostgresFrame> NextStartup();

  /** Takes the next ordinary message; none while it isn't whole. Throws
   * DecodeError for a length out of range. */
  std::optional<PostgresFrame> Next();

 private:
  std::optional<PostgresFrame> Take(std::size_t type_bytes,
                                    std::size_t max_bytes);

  std::string buffer;
  std::size_t taken = 0;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_POSTGRES_FRAME_H_
