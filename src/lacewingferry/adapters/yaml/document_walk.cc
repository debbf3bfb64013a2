#include "lacewingferry/adapters/yaml/document_walk.h"

#include <arpa/inet.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

#include "lacewingferry/core/duration_text.h"
#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry::detail {
namespace {

constexpr std::size_t kLeastSecretCharacters = 16;
constexpr std::size_t kMostSuggestedEdits = 3;

Place PlaceOf(const std::string& file, const YAML::Mark& mark) {
  if (mark.is_null()) {
    return Place{file, 0, 0};
  }
  return Place{file, mark.line + 1, mark.column + 1};
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '-' || letter == '_' ||
                  letter == '.';
         });
}

bool IsIpAddress(const std::string& host) {
  in6_addr parsed{};
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

std::optional<Endpoint> ParseIpEndpoint(const std::string& text) {
  std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (endpoint && !IsIpAddress(endpoint->host)) {
    return std::nullopt;
  }
  return endpoint;
}

std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

std::string SuggestKey(const std::string& wrong,
                       std::initializer_list<const char*> known) {
  const char* nearest = nullptr;
  std::size_t least = kMostSuggestedEdits + 1;
  for (const char* candidate : known) {
    const std::size_t distance = EditDistance(wrong, candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  if (nearest == nullptr) {
    return "";
  }
  return std::string(", did you mean '") + nearest + "'?";
}

/** Notes where the root of each document is. */
class RootMarks : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {
    this->at_root = true;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->Note(mark);
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->Note(mark);
  }
  void OnScalar(const YAML::Mark& mark, const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {
    this->Note(mark);
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    this->Note(mark);
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    this->Note(mark);
  }
  void OnMapEnd() override {}

  std::vector<YAML::Mark> roots;

 private:
  void Note(const YAML::Mark& mark) {
    if (std::exchange(this->at_root, false)) this->roots.push_back(mark);
  }

  bool at_root = false;
};

/** The roots of the first two documents. A text that begins with a comma has
 * documents without end, all at one place, so that no more may be read. */
std::vector<YAML::Mark> FirstRoots(const std::string& text) {
  std::istringstream in(text);
  YAML::Parser parser(in);
  RootMarks marks;
  while (marks.roots.size() < 2 && parser.HandleNextDocument(marks)) {
  }
  return marks.roots;
}

}  // namespace

DocumentWalk::DocumentWalk(const std::string& text, std::string path)
    : file(std::move(path)) {
  std::vector<YAML::Mark> roots;
  try {
    roots = FirstRoots(text);
    if (roots.size() == 1) this->root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    throw FindingsError({Finding{PlaceOf(this->file, error.mark),
                                 "not valid YAML: " + error.msg}});
  }
  if (roots.empty()) {
    throw FindingsError({Finding{Place{this->file, 0, 0}, "is empty"}});
  }
  if (roots.size() > 1) {
    const bool stuck = roots[0].pos == roots[1].pos;
    throw FindingsError({Finding{PlaceOf(this->file, roots[1]),
                                 stuck ? "not valid YAML: nothing begins here"
                                       : "a second document starts here"}});
  }
}

void DocumentWalk::Note(const YAML::Node& node, const std::string& message) {
  this->findings.push_back(Finding{PlaceOf(this->file, node.Mark()), message});
}

bool DocumentWalk::ExpectMapping(const YAML::Node& node,
                                 const std::string& name,
                                 std::initializer_list<const char*> known) {
  if (!node.IsMap()) {
    this->Note(node, name + " must be a mapping of keys to values");
    return false;
  }
  std::set<std::string> seen;
  for (const auto& entry : node) {
    const std::string key =
        entry.first.IsScalar() ? entry.first.Scalar() : "(not a text)";
    std::string quoted = "'" + key + "' in ";
    quoted += name;
    if (!seen.insert(key).second) {
      this->Note(entry.first, "key stands twice: " + quoted);
    } else if (std::find(known.begin(), known.end(), key) == known.end()) {
      this->Note(entry.first, "unknown key " + quoted + SuggestKey(key, known));
    }
  }
  return true;
}

const YAML::Node* DocumentWalk::Find(const YAML::Node& mapping, const char* key,
                                     Need need) {
  for (const auto& entry : mapping) {
    if (entry.first.IsScalar() && entry.first.Scalar() == key) {
      this->found.push_back(std::make_unique<YAML::Node>(entry.second));
      return this->found.back().get();
    }
  }
  if (need == Need::kRequired) {
    this->Note(mapping, std::string("required key '") + key + "' is missing");
  }
  return nullptr;
}

const YAML::Node* DocumentWalk::FindScalar(const YAML::Node& mapping,
                                           const char* key, Need need,
                                           std::string* text) {
  const YAML::Node* node = this->Find(mapping, key, need);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->IsScalar()) {
    this->Note(*node, std::string("'") + key + "' must be a single value");
    return nullptr;
  }
  *text = node->Scalar();
  return node;
}

void DocumentWalk::ReadText(const YAML::Node& mapping, const char* key,
                            Need need, std::string* target) {
  std::string text;
  const YAML::Node* node = this->FindScalar(mapping, key, need, &text);
  if (node == nullptr) {
    return;
  }
  if (text.empty()) {
    this->Note(*node, std::string("'") + key + "' must not be empty");
    return;
  }
  *target = text;
}

void DocumentWalk::ReadName(const YAML::Node& mapping, const char* key,
                            Need need, std::string* target) {
  const YAML::Node* node = this->Find(mapping, key, need);
  if (node != nullptr) {
    this->ReadItemName(*node, std::string("'") + key + "'", target);
  }
}

void DocumentWalk::ReadItemName(const YAML::Node& item, const std::string& name,
                                std::string* target) {
  if (!item.IsScalar()) {
    this->Note(item, name + " must be a single value");
  } else if (!IsName(item.Scalar())) {
    this->Note(item, name +
                         " must be a name of letters, digits, '-', '_' and "
                         "'.', not '" +
                         item.Scalar() + "'");
  } else {
    *target = item.Scalar();
  }
}

Place DocumentWalk::PlaceOfNode(const YAML::Node& node) const {
  return PlaceOf(this->file, node.Mark());
}

void DocumentWalk::ReadNumber(const YAML::Node& mapping, const char* key,
                              Need need, std::uint64_t least,
                              std::uint64_t most, std::uint64_t* target) {
  std::string text;
  const YAML::Node* node = this->FindScalar(mapping, key, need, &text);
  if (node == nullptr) {
    return;
  }
  const std::optional<std::uint64_t> number = ParseNumber(text);
  if (!number || *number < least || *number > most) {
    this->Note(*node, std::string("'") + key +
                          "' must be a whole number from " +
                          std::to_string(least) + " to " +
                          std::to_string(most) + ", not '" + text + "'");
    return;
  }
  *target = *number;
}

void DocumentWalk::ReadDuration(const YAML::Node& mapping, const char* key,
                                Need need, std::chrono::milliseconds* target) {
  std::string text;
  const YAML::Node* node = this->FindScalar(mapping, key, need, &text);
  if (node == nullptr) {
    return;
  }
  try {
    *target = ParseDuration(text);
  } catch (const UserError&) {
    this->Note(*node, std::string("'") + key +
                          "' must be a duration with its unit, for example "
                          "250ms, 2s or 1min, not '" +
                          text + "'");
  }
}

void DocumentWalk::ReadSecret(const YAML::Node& mapping, const char* key,
                              std::string* target) {
  std::string text;
  const YAML::Node* node =
      this->FindScalar(mapping, key, Need::kRequired, &text);
  if (node == nullptr) {
    return;
  }
  if (text.size() < kLeastSecretCharacters) {
    this->Note(*node, std::string("'") + key + "' must have at least " +
                          std::to_string(kLeastSecretCharacters) +
                          " characters, not " + std::to_string(text.size()));
    return;
  }
  *target = text;
}

void DocumentWalk::ReadEndpoint(const YAML::Node& mapping, const char* key,
                                Need need, Endpoint* target) {
  std::string text;
  const YAML::Node* node = this->FindScalar(mapping, key, need, &text);
  if (node == nullptr) {
    return;
  }
  const std::optional<Endpoint> endpoint = ParseIpEndpoint(text);
  if (!endpoint) {
    this->Note(*node, std::string("'") + key +
                          "' must be IP:PORT with a port from 1 to 65535, "
                          "not '" +
                          text + "'");
    return;
  }
  *target = *endpoint;
}

void DocumentWalk::ReadPeerUrl(const YAML::Node& mapping, const char* key,
                               Need need, std::string* target) {
  static const std::string kScheme = "tcp://";
  std::string text;
  const YAML::Node* node = this->FindScalar(mapping, key, need, &text);
  if (node == nullptr) {
    return;
  }
  const bool has_scheme = text.compare(0, kScheme.size(), kScheme) == 0;
  if (!has_scheme || !ParseIpEndpoint(text.substr(kScheme.size()))) {
    this->Note(*node, std::string("'") + key +
                          "' must be tcp://IP:PORT by IP number with a port "
                          "from 1 to 65535, not '" +
                          text + "'");
    return;
  }
  *target = text;
}

void DocumentWalk::ReadSequence(
    const YAML::Node& mapping, const char* key, Need need,
    const std::function<void(const YAML::Node&)>& each) {
  const YAML::Node* node = this->Find(mapping, key, need);
  if (node == nullptr) {
    return;
  }
  if (!node->IsSequence()) {
    this->Note(*node, std::string("'") + key + "' must be a list");
    return;
  }
  for (const YAML::Node& item : *node) {
    each(item);
  }
}

void DocumentWalk::ThrowFindings() {
  if (this->findings.empty()) {
    return;
  }
  std::stable_sort(this->findings.begin(), this->findings.end(),
                   [](const Finding& a, const Finding& b) {
                     return std::tie(a.place.line, a.place.column) <
                            std::tie(b.place.line, b.place.column);
                   });
  throw FindingsError(this->findings);
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    throw FindingsError({Finding{Place{path, 0, 0}, "can't be read"}});
  }
  return std::string(std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>());
}

}  // namespace lacewingferry::detail
