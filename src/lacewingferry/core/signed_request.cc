#include "lacewingferry/core/signed_request.h"

namespace lacewingferry {
namespace {

/** Appends a field with its length, so that no two lists of fields give the
 * same text. */
void AppendField(const std::string& field, std::string* text) {
  *text += std::to_string(field.size());
  *text += ':';
  *text += field;
}

}  // namespace

std::string SignedText(const SignedRequest& request) {
  const auto signed_at = std::chrono::duration_cast<std::chrono::microseconds>(
      request.signed_at.time_since_epoch());
  std::string text;
  AppendField(request.operator_name, &text);
  AppendField(request.host, &text);
  AppendField(request.method, &text);
  AppendField(request.path, &text);
  AppendField(request.body, &text);
  AppendField(std::to_string(signed_at.count()), &text);
  AppendField(request.nonce, &text);
  return text;
}

}  // namespace lacewingferry
