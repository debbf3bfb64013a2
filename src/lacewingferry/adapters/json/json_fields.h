#ifndef LACEWINGFERRY_ADAPTERS_JSON_JSON_FIELDS_H_
#define LACEWINGFERRY_ADAPTERS_JSON_JSON_FIELDS_H_

// Defines JsonFields, which reads the fields of a JSON object and collects
// what is wrong with them.

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewingferry::detail {

/** Whether a reader that ends texts at a zero byte would cut this one off. */
bool HasZeroByte(const std::string& text);

/** Reads fields by name. A wrong field gives a default and is reported by
 * Finish, together with all others and with fields that nobody asked for. */
class JsonFields {
 public:
  /** Throws UserError for text that is no JSON object; what names the whole
   * object in messages. */
  JsonFields(const std::string& text, std::string what);

  /** A view of an object that is part of another. */
  JsonFields(nlohmann::json object, std::string what);

  bool Has(const char* name) const;
  /** Reads text without a zero byte. */
  std::string Text(const char* name, bool required);
  std::uint64_t Number(const char* name, bool required, std::uint64_t most);
  bool Flag(const char* name);
  std::optional<std::chrono::milliseconds> Duration(const char* name);
  /** The raw value; null if the field is missing. */
  nlohmann::json Raw(const char* name);

  /** Adds a problem that the caller found. */
  void Report(const std::string& problem);

  /** Throws UserError with all problems, if there are any. */
  void Finish() const;

 private:
  const nlohmann::json* Find(const char* name, bool required);

  nlohmann::json object;
  std::string what;
  std::set<std::string> asked;
  std::vector<std::string> problems;
};

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_ADAPTERS_JSON_JSON_FIELDS_H_
