#ifndef LACEWINGFERRY_CORE_PRINTABLE_TEXT_H_
#define LACEWINGFERRY_CORE_PRINTABLE_TEXT_H_

// Defines PrintableText, which makes a text safe to print on a terminal.

#include <string>

namespace lacewingferry {

/** The text in UTF-8 with \xNN in place of the bytes of control characters and
 * of those that change the direction of writing: it stays on one line, and
 * changes neither the terminal nor what stands around it. */
std::string PrintableText(const std::string& text);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_PRINTABLE_TEXT_H_
