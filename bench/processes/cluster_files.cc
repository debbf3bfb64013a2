#include "bench/processes/cluster_files.h"

#include <yaml-cpp/yaml.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "lacewingferry/adapters/yaml/release_note_writer.h"
#include "lacewingferry/core/endpoint_text.h"

namespace lacewingferry::processes {
namespace {

const char kOperatorSecret[] = "a local cluster's operator secret";
/** Short, so that a test sees a replacement. */
const char kMemberLostAfter[] = "2s";
const char kTokenSecret[] = "a local cluster's token secret";

std::filesystem::path MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "ferry-cluster-XXXXXX")
          .string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder can be made: " + pattern);
  }
  return pattern;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream stream(path, std::ios::binary);
  stream << text;
  stream.close();
  if (!stream) throw std::runtime_error(path + " can't be written");
}

YAML::Node PeersOf(const std::vector<PlannedNode>& nodes) {
  YAML::Node list(YAML::NodeType::Sequence);
  for (const PlannedNode& node : nodes) {
    YAML::Node item;
    item["id"] = node.id.Value();
    item["url"] = node.peer_url;
    list.push_back(item);
  }
  return list;
}

YAML::Node PlaceOf(const PlannedNode& node) {
  YAML::Node root;
  root["node"] = node.id.Value();
  root["zone"] = node.zone.Value();
  root["region"] = node.region;
  root["listen"] = FormatEndpoint(node.listen);
  root["peer_url"] = node.peer_url;
  return root;
}

}  // namespace

ClusterFiles::ClusterFiles(const ClusterPlan& plan) : folder(MakeFolder()) {
  this->WriteProxies(plan);
  this->WriteControls(plan);
  WriteFile(this->FirstNote(), WriteReleaseNote(FirstNoteOf(plan)));
  WriteFile(this->SecretFile(), std::string(kOperatorSecret) + "\n");
  for (const PlannedMember& member : plan.members) {
    std::filesystem::create_directory(this->DataOf(member.id.Value()));
  }
}

ClusterFiles::~ClusterFiles() {
  if (this->keep) return;
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string ClusterFiles::SettingsOf(const std::string& process) const {
  return (this->folder / (process + ".yaml")).string();
}

std::string ClusterFiles::LogOf(const std::string& process) const {
  return (this->folder / (process + ".log")).string();
}

std::string ClusterFiles::DataOf(const std::string& process) const {
  return (this->folder / (process + ".data")).string();
}

std::string ClusterFiles::FirstNote() const {
  return (this->folder / "first-note.yaml").string();
}

std::string ClusterFiles::SecretFile() const {
  return (this->folder / "operator-secret").string();
}

void ClusterFiles::WriteProxies(const ClusterPlan& plan) const {
  for (const PlannedNode& proxy : plan.proxies) {
    YAML::Node root = PlaceOf(proxy);
    root["peers"] = PeersOf(plan.proxies);
    root["control"] = PeersOf(plan.controls);
    root["token_secret"] = kTokenSecret;
    WriteFile(this->SettingsOf(proxy.id.Value()), YAML::Dump(root) + "\n");
  }
}

void ClusterFiles::WriteControls(const ClusterPlan& plan) const {
  for (const PlannedNode& control : plan.controls) {
    const std::string data = this->DataOf(control.id.Value());
    std::filesystem::create_directory(data);
    YAML::Node root = PlaceOf(control);
    root["voters"] = PeersOf(plan.controls);
    root["data_folder"] = data;
    root["operator_secret"] = kOperatorSecret;
    root["member_lost_after"] = kMemberLostAfter;
    WriteFile(this->SettingsOf(control.id.Value()), YAML::Dump(root) + "\n");
  }
}

}  // namespace lacewingferry::processes
