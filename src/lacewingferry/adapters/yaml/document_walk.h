#ifndef LACEWINGFERRY_ADAPTERS_YAML_DOCUMENT_WALK_H_
#define LACEWINGFERRY_ADAPTERS_YAML_DOCUMENT_WALK_H_

// Defines DocumentWalk, which reads typed values out of a YAML document and
// collects a finding, with its place, for each mistake.

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

#include "lacewingferry/core/finding.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry::detail {

/** A YAML document under examination. Each Read leaves its target unchanged
 * when the value is absent or wrong, and notes what was wrong. */
class DocumentWalk {
 public:
  /** Whether a key may be left out. */
  enum class Need : std::uint8_t { kRequired, kOptional };

  /** Opens a document from its text; path names it in findings. Throws
   * FindingsError unless the text is one YAML document. */
  DocumentWalk(const std::string& text, std::string path);

  /** The document's outermost node. */
  const YAML::Node& Root() const { return this->root; }

  /** Notes a finding at the start of a node. */
  void Note(const YAML::Node& node, const std::string& message);

  /** Checks that node is a mapping of known keys only, none of them twice.
   * Returns whether it is a mapping. */
  bool ExpectMapping(const YAML::Node& node, const std::string& name,
                     std::initializer_list<const char*> known);

  /** Finds a key's value. Returns nullptr when absent, noting a finding when
   * it is required. */
  const YAML::Node* Find(const YAML::Node& mapping, const char* key, Need need);

  /** Reads a scalar as text that is not empty. */
  void ReadText(const YAML::Node& mapping, const char* key, Need need,
                std::string* target);

  /** Reads a whole number between least and most. */
  void ReadNumber(const YAML::Node& mapping, const char* key, Need need,
                  std::uint64_t least, std::uint64_t most,
                  std::uint64_t* target);

  /** Reads a duration that states its unit, for example 250ms, 2s or 1min. */
  void ReadDuration(const YAML::Node& mapping, const char* key, Need need,
                    std::chrono::milliseconds* target);

  /** Reads a secret of 16 characters or more. */
  void ReadSecret(const YAML::Node& mapping, const char* key,
                  std::string* target);

  /** Reads an address to listen on, IP:PORT. */
  void ReadEndpoint(const YAML::Node& mapping, const char* key, Need need,
                    Endpoint* target);

  /** Reads the address of a process, tcp://IP:PORT. */
  void ReadPeerUrl(const YAML::Node& mapping, const char* key, Need need,
                   std::string* target);

  /** Calls each for every item of a sequence. */
  void ReadSequence(const YAML::Node& mapping, const char* key, Need need,
                    const std::function<void(const YAML::Node&)>& each);

  /** Reads an identifier, of letters, digits, '-', '_' and '.'. */
  template <typename Id>
  void ReadId(const YAML::Node& mapping, const char* key, Need need,
              Id* target) {
    std::string text = target->Value();
    this->ReadName(mapping, key, need, &text);
    *target = Id(text);
  }

  /** Reads an identifier that is a sequence's item; name says what it is in
   * findings. */
  template <typename Id>
  void ReadItemId(const YAML::Node& item, const std::string& name, Id* target) {
    std::string text;
    this->ReadItemName(item, name, &text);
    *target = Id(text);
  }

  /** The place of a node's start. */
  Place PlaceOfNode(const YAML::Node& node) const;

  /** Throws FindingsError if anything was noted, in the order of places. */
  void ThrowFindings();

 private:
  const YAML::Node* FindScalar(const YAML::Node& mapping, const char* key,
                               Need need, std::string* text);
  void ReadName(const YAML::Node& mapping, const char* key, Need need,
                std::string* target);
  void ReadItemName(const YAML::Node& item, const std::string& name,
                    std::string* target);

  std::string file;
  YAML::Node root;
  std::vector<Finding> findings;
  /** Values that Find returned, kept so that their addresses stay valid. */
  std::vector<std::unique_ptr<YAML::Node>> found;
};

/** The whole content of a file. Throws FindingsError if it can't be read. */
std::string ReadWholeFile(const std::string& path);

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_ADAPTERS_YAML_DOCUMENT_WALK_H_
