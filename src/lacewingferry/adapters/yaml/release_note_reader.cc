#include "lacewingferry/adapters/yaml/release_note_reader.h"

#include <cstdint>
#include <functional>
#include <limits>

#include "lacewingferry/adapters/yaml/document_walk.h"

namespace lacewingferry {
namespace {

using detail::DocumentWalk;
using Need = DocumentWalk::Need;

/** Reads the parts of one document. */
class NoteReader {
 public:
  NoteReader(DocumentWalk* document, PlacedNote* target)
      : walk(*document), result(*target) {}

  void Run() {
    const YAML::Node& root = this->walk.Root();
    if (!this->walk.ExpectMapping(root, "a release note",
                                  {"note", "base_revision", "author", "added",
                                   "changed", "withdrawn"})) {
      return;
    }
    ReleaseNote& note = this->result.note;
    this->walk.ReadId(root, "note", Need::kRequired, &note.id);
    this->walk.ReadNumber(root, "base_revision", Need::kRequired, 0,
                          std::numeric_limits<std::uint64_t>::max() - 1,
                          &note.base_revision);
    this->walk.ReadText(root, "author", Need::kRequired, &note.author);
    this->ReadItems(root, "added", &note.added);
    this->ReadItems(root, "changed", &note.changed);
    this->ReadWithdrawn(root);
  }

 private:
  /** Finds one of the three parts of a note; nullptr when it is absent. */
  const YAML::Node* FindSection(const YAML::Node& root, const char* section) {
    const YAML::Node* node = this->walk.Find(root, section, Need::kOptional);
    const bool usable =
        node != nullptr &&
        this->walk.ExpectMapping(*node, std::string("'") + section + "'",
                                 {"groups", "staleness_rules", "proxies"});
    return usable ? node : nullptr;
  }

  void ReadItems(const YAML::Node& root, const char* section,
                 NoteItems* items) {
    const YAML::Node* node = this->FindSection(root, section);
    if (node == nullptr) {
      return;
    }
    this->ReadEach(*node, "groups", [&](const YAML::Node& item) {
      items->groups.push_back(this->ReadGroup(item, section));
    });
    this->ReadEach(*node, "staleness_rules", [&](const YAML::Node& item) {
      items->staleness_rules.push_back(this->ReadRule(item, section));
    });
    this->ReadEach(*node, "proxies", [&](const YAML::Node& item) {
      items->proxies.push_back(this->ReadProxy(item, section));
    });
  }

  void ReadEach(const YAML::Node& section, const char* key,
                const std::function<void(const YAML::Node&)>& each) {
    this->walk.ReadSequence(section, key, Need::kOptional, each);
  }

  DatabaseGroup ReadGroup(const YAML::Node& item, const char* section) {
    DatabaseGroup group;
    if (!this->walk.ExpectMapping(
            item, "a group",
            {"id", "generation", "databases", "members", "slots"})) {
      return group;
    }
    this->walk.ReadId(item, "id", Need::kRequired, &group.id);
    this->ReadCount(item, "generation", Need::kOptional, kMostGenerations,
                    &group.generation);
    this->walk.ReadSequence(
        item, "databases", Need::kRequired, [&](const YAML::Node& name) {
          DatabaseId database;
          this->walk.ReadItemId(name, "a database", &database);
          group.databases.push_back(database);
        });
    this->ReadCount(item, "members", Need::kRequired, kMostMembers,
                    &group.members);
    this->ReadCount(item, "slots", Need::kRequired, kMostSlots, &group.slots);
    this->Remember(item, section, "group", group.id.Value());
    return group;
  }

  StalenessRule ReadRule(const YAML::Node& item, const char* section) {
    StalenessRule rule;
    if (!this->walk.ExpectMapping(item, "a staleness rule",
                                  {"group", "generation", "max_age"})) {
      return rule;
    }
    this->walk.ReadId(item, "group", Need::kRequired, &rule.group);
    this->ReadCount(item, "generation", Need::kOptional, kMostGenerations,
                    &rule.generation);
    this->walk.ReadDuration(item, "max_age", Need::kRequired, &rule.max_age);
    this->Remember(item, section, "staleness rule", rule.group.Value());
    return rule;
  }

  FrontProxy ReadProxy(const YAML::Node& item, const char* section) {
    FrontProxy proxy;
    if (!this->walk.ExpectMapping(
            item, "a proxy",
            {"id", "generation", "zone", "region", "peer_url"})) {
      return proxy;
    }
    this->walk.ReadId(item, "id", Need::kRequired, &proxy.id);
    this->ReadCount(item, "generation", Need::kOptional, kMostGenerations,
                    &proxy.generation);
    this->walk.ReadId(item, "zone", Need::kRequired, &proxy.zone);
    this->walk.ReadText(item, "region", Need::kRequired, &proxy.region);
    this->walk.ReadPeerUrl(item, "peer_url", Need::kRequired, &proxy.peer_url);
    this->Remember(item, section, "proxy", proxy.id.Value());
    return proxy;
  }

  void ReadWithdrawn(const YAML::Node& root) {
    const YAML::Node* node = this->FindSection(root, "withdrawn");
    if (node == nullptr) {
      return;
    }
    WithdrawnItems& withdrawn = this->result.note.withdrawn;
    this->ReadNames(*node, "groups", "group", &withdrawn.groups);
    this->ReadNames(*node, "staleness_rules", "staleness rule",
                    &withdrawn.staleness_rules);
    this->ReadNames(*node, "proxies", "proxy", &withdrawn.proxies);
  }

  template <typename Id>
  void ReadNames(const YAML::Node& section, const char* key, const char* kind,
                 std::vector<Id>* names) {
    this->ReadEach(section, key, [&](const YAML::Node& item) {
      Id id;
      this->walk.ReadItemId(item, "a withdrawn name", &id);
      this->Remember(item, "withdrawn", kind, id.Value());
      names->push_back(id);
    });
  }

  void ReadCount(const YAML::Node& item, const char* key, Need need,
                 std::uint64_t most, std::uint32_t* target) {
    std::uint64_t number = *target;
    this->walk.ReadNumber(item, key, need, 1, most, &number);
    *target = static_cast<std::uint32_t>(number);
  }

  /** Keeps the place of an item under the name that findings give it. */
  void Remember(const YAML::Node& item, const char* section, const char* kind,
                const std::string& id) {
    const std::string name =
        std::string(section) + " " + kind + " '" + id + "'";
    this->result.places.emplace(name, this->walk.PlaceOfNode(item));
  }

  DocumentWalk& walk;
  PlacedNote& result;
};

}  // namespace

std::vector<Finding> PlacedNote::Locate(
    const std::vector<NoteFinding>& findings) const {
  std::vector<Finding> located;
  located.reserve(findings.size());
  for (const NoteFinding& finding : findings) {
    const auto known = this->places.find(finding.item);
    const Place place =
        known == this->places.end() ? Place{this->file, 1, 1} : known->second;
    const std::string item = finding.item.empty() ? "" : finding.item + " ";
    located.push_back(Finding{place, item + finding.message});
  }
  return located;
}

PlacedNote ReadReleaseNote(const std::string& text, const std::string& file) {
  PlacedNote result;
  result.file = file;
  DocumentWalk walk(text, file);
  NoteReader(&walk, &result).Run();
  walk.ThrowFindings();
  return result;
}

}  // namespace lacewingferry
