#include "lacewingferry/adapters/yaml/release_note_writer.h"

#include <yaml-cpp/yaml.h>

#include <vector>

namespace lacewingferry {
namespace {

constexpr std::uint32_t kFirstGeneration = 1;

template <typename Id>
void WriteNames(const std::vector<Id>& names, YAML::Emitter* out) {
  *out << YAML::Flow << YAML::BeginSeq;
  for (const Id& name : names) {
    *out << name.Value();
  }
  *out << YAML::EndSeq;
}

void WriteGeneration(std::uint32_t generation, YAML::Emitter* out) {
  if (generation != kFirstGeneration) {
    *out << YAML::Key << "generation" << YAML::Value << generation;
  }
}

void WriteItem(const DatabaseGroup& group, YAML::Emitter* out) {
  *out << YAML::BeginMap;
  *out << YAML::Key << "id" << YAML::Value << group.id.Value();
  WriteGeneration(group.generation, out);
  *out << YAML::Key << "databases" << YAML::Value;
  WriteNames(group.databases, out);
  *out << YAML::Key << "members" << YAML::Value << group.members;
  *out << YAML::Key << "slots" << YAML::Value << group.slots;
  *out << YAML::EndMap;
}

void WriteItem(const StalenessRule& rule, YAML::Emitter* out) {
  *out << YAML::BeginMap;
  *out << YAML::Key << "group" << YAML::Value << rule.group.Value();
  WriteGeneration(rule.generation, out);
  *out << YAML::Key << "max_age" << YAML::Value
       << std::to_string(rule.max_age.count()) + "ms";
  *out << YAML::EndMap;
}

void WriteItem(const FrontProxy& proxy, YAML::Emitter* out) {
  *out << YAML::BeginMap;
  *out << YAML::Key << "id" << YAML::Value << proxy.id.Value();
  WriteGeneration(proxy.generation, out);
  *out << YAML::Key << "zone" << YAML::Value << proxy.zone.Value();
  *out << YAML::Key << "region" << YAML::Value << proxy.region;
  *out << YAML::Key << "peer_url" << YAML::Value << proxy.peer_url;
  *out << YAML::EndMap;
}

template <typename Item>
void WriteItems(const char* key, const std::vector<Item>& items,
                YAML::Emitter* out) {
  if (items.empty()) {
    return;
  }
  *out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
  for (const Item& item : items) {
    WriteItem(item, out);
  }
  *out << YAML::EndSeq;
}

template <typename Id>
void WriteWithdrawnNames(const char* key, const std::vector<Id>& names,
                         YAML::Emitter* out) {
  if (!names.empty()) {
    *out << YAML::Key << key << YAML::Value;
    WriteNames(names, out);
  }
}

void WriteSection(const char* section, const NoteItems& items,
                  YAML::Emitter* out) {
  if (items == NoteItems()) {
    return;
  }
  *out << YAML::Key << section << YAML::Value << YAML::BeginMap;
  WriteItems("groups", items.groups, out);
  WriteItems("staleness_rules", items.staleness_rules, out);
  WriteItems("proxies", items.proxies, out);
  *out << YAML::EndMap;
}

void WriteWithdrawn(const WithdrawnItems& withdrawn, YAML::Emitter* out) {
  if (withdrawn == WithdrawnItems()) {
    return;
  }
  *out << YAML::Key << "withdrawn" << YAML::Value << YAML::BeginMap;
  WriteWithdrawnNames("groups", withdrawn.groups, out);
  WriteWithdrawnNames("staleness_rules", withdrawn.staleness_rules, out);
  WriteWithdrawnNames("proxies", withdrawn.proxies, out);
  *out << YAML::EndMap;
}

}  // namespace

std::string WriteReleaseNote(const ReleaseNote& note) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "note" << YAML::Value << note.id.Value();
  out << YAML::Key << "base_revision" << YAML::Value << note.base_revision;
  out << YAML::Key << "author" << YAML::Value << note.author;
  WriteSection("added", note.added, &out);
  WriteSection("changed", note.changed, &out);
  WriteWithdrawn(note.withdrawn, &out);
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace lacewingferry
