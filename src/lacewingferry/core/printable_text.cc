#include "lacewingferry/core/printable_text.h"

#include <cstddef>
#include <string_view>

namespace lacewingferry {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

/** A byte of a text; 0 behind its end. Whether char has a sign depends on the
 * machine. */
unsigned ByteAt(std::string_view text, std::size_t index) {
  return index < text.size() ? static_cast<unsigned char>(text[index]) : 0;
}

bool IsBetween(unsigned byte, unsigned first, unsigned last) {
  return first <= byte && byte <= last;
}

/** Whether two bytes of UTF-8 are a control character, U+0080 to U+009F. */
bool IsLateControl(std::string_view text) {
  return ByteAt(text, 0) == 0xc2 && IsBetween(ByteAt(text, 1), 0x80, 0x9f);
}

/** Whether three bytes of UTF-8 change the direction of writing: U+200E,
 * U+200F, U+202A to U+202E and U+2066 to U+2069. */
bool IsDirection(std::string_view text) {
  if (ByteAt(text, 0) != 0xe2) return false;
  const unsigned last = ByteAt(text, 2);
  if (ByteAt(text, 1) == 0x80) {
    return IsBetween(last, 0x8e, 0x8f) || IsBetween(last, 0xaa, 0xae);
  }
  return ByteAt(text, 1) == 0x81 && IsBetween(last, 0xa6, 0xa9);
}

/** How many bytes at the front must not be printed as they are. */
std::size_t UnprintableBytes(std::string_view text) {
  const unsigned byte = ByteAt(text, 0);
  if (byte < ' ' || byte == 0x7f) return 1;
  if (IsLateControl(text)) return 2;
  return IsDirection(text) ? 3 : 0;
}

}  // namespace

std::string PrintableText(const std::string& text) {
  std::string printable;
  std::size_t escaped_to = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t bytes =
        UnprintableBytes(std::string_view(text).substr(i));
    if (bytes > 0) escaped_to = i + bytes;
    if (i >= escaped_to) {
      printable += text[i];
      continue;
    }
    const unsigned byte = ByteAt(text, i);
    printable += "\\x";
    printable += kHexDigits[byte / 16U];
    printable += kHexDigits[byte % 16U];
  }
  return printable;
}

}  // namespace lacewingferry
