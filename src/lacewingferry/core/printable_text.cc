#include "lacewingferry/core/printable_text.h"

#include <cstddef>
#include <string_view>

namespace lacewingferry {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

/** Whether two bytes of UTF-8 are a control character, U+0080 to U+009F. */
bool IsLateControl(std::string_view text) {
  return text.size() >= 2 && text[0] == '\xc2' && text[1] >= '\x80' &&
         text[1] <= '\x9f';
}

/** Whether three bytes of UTF-8 change the direction of writing: U+200E,
 * U+200F, U+202A to U+202E and U+2066 to U+2069. */
bool IsDirection(std::string_view text) {
  if (text.size() < 3 || text[0] != '\xe2') return false;
  const char last = text[2];
  if (text[1] == '\x80') {
    return last == '\x8e' || last == '\x8f' ||
           (last >= '\xaa' && last <= '\xae');
  }
  return text[1] == '\x81' && last >= '\xa6' && last <= '\xa9';
}

/** How many bytes at the front must not be printed as they are. */
std::size_t UnprintableBytes(std::string_view text) {
  const auto byte = static_cast<unsigned char>(text[0]);
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
    const auto byte = static_cast<unsigned char>(text[i]);
    printable += "\\x";
    printable += kHexDigits[byte / 16U];
    printable += kHexDigits[byte % 16U];
  }
  return printable;
}

}  // namespace lacewingferry
