#include "lacewingferry/adapters/json/json_fields.h"

#include <utility>

#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/errors.h"

namespace lacewingferry::detail {
namespace {

using nlohmann::json;

/** No request or announcement nests as deep as this. A copy of a value calls
 * itself for each level, so that depth has to have a bound. */
constexpr int kMostLevels = 16;

json ParseObject(const std::string& text, const std::string& what) {
  const auto check_depth = [&what](int depth, json::parse_event_t, json&) {
    if (depth <= kMostLevels) return true;
    throw UserError(what + ": nested deeper than " +
                    std::to_string(kMostLevels) + " levels");
  };
  json parsed = json::parse(text, check_depth, false);
  if (!parsed.is_object()) throw UserError(what + ": not a JSON object");
  return parsed;
}

}  // namespace

bool HasZeroByte(const std::string& text) {
  return text.find('\0') != std::string::npos;
}

JsonFields::JsonFields(const std::string& text, std::string name)
    : object(ParseObject(text, name)), what(std::move(name)) {}

JsonFields::JsonFields(nlohmann::json part, std::string name)
    : object(std::move(part)), what(std::move(name)) {
  if (!this->object.is_object()) {
    throw UserError(this->what + ": not a JSON object");
  }
}

bool JsonFields::Has(const char* name) const {
  return this->object.contains(name) && !this->object[name].is_null();
}

const nlohmann::json* JsonFields::Find(const char* name, bool required) {
  this->asked.insert(name);
  if (this->Has(name)) return &this->object[name];
  if (required) this->Report(std::string(name) + " is missing");
  return nullptr;
}

std::string JsonFields::Text(const char* name, bool required) {
  const nlohmann::json* value = this->Find(name, required);
  if (value == nullptr) return "";
  if (!value->is_string()) {
    this->Report(std::string(name) + " is not a string");
    return "";
  }
  auto text = value->get<std::string>();
  if (HasZeroByte(text)) this->Report(std::string(name) + " has a zero byte");
  return text;
}

std::uint64_t JsonFields::Number(const char* name, bool required,
                                 std::uint64_t most) {
  const nlohmann::json* value = this->Find(name, required);
  if (value == nullptr) return 0;
  if (value->is_number_unsigned() && value->get<std::uint64_t>() <= most) {
    return value->get<std::uint64_t>();
  }
  this->Report(std::string(name) + " is not a whole number from 0 to " +
               std::to_string(most));
  return 0;
}

bool JsonFields::Flag(const char* name) {
  const nlohmann::json* value = this->Find(name, false);
  if (value == nullptr) return false;
  if (value->is_boolean()) return value->get<bool>();
  this->Report(std::string(name) + " is not true or false");
  return false;
}

std::optional<std::chrono::milliseconds> JsonFields::Duration(
    const char* name) {
  if (!this->Has(name)) {
    this->asked.insert(name);
    return std::nullopt;
  }
  try {
    return ParseDuration(this->Text(name, false));
  } catch (const UserError& error) {
    this->Report(std::string(name) + ": " + error.what());
    return std::nullopt;
  }
}

nlohmann::json JsonFields::Raw(const char* name) {
  const nlohmann::json* value = this->Find(name, false);
  return value == nullptr ? nlohmann::json() : *value;
}

void JsonFields::Report(const std::string& problem) {
  this->problems.push_back(problem);
}

void JsonFields::Finish() const {
  std::string text;
  for (const std::string& problem : this->problems) text += "; " + problem;
  for (const auto& item : this->object.items()) {
    if (this->asked.count(item.key()) > 0) continue;
    text += "; unknown field " + item.key();
  }
  if (!text.empty()) throw UserError(this->what + ": " + text.substr(2));
}

}  // namespace lacewingferry::detail
