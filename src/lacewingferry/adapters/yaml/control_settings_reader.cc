#include "lacewingferry/adapters/yaml/control_settings_reader.h"

#include <algorithm>

#include "lacewingferry/adapters/yaml/document_walk.h"
#include "lacewingferry/adapters/yaml/settings_parts.h"

namespace lacewingferry {
namespace {

using detail::DocumentWalk;
using Need = DocumentWalk::Need;

void ReadVoters(DocumentWalk* walk, const YAML::Node& root,
                ControlSettings* settings) {
  settings->voters = detail::ReadPeers(walk, root, "voters", Need::kRequired);
  const YAML::Node* voters = walk->Find(root, "voters", Need::kOptional);
  if (voters == nullptr || settings->node.Empty()) {
    return;
  }
  const bool included = std::any_of(
      settings->voters.begin(), settings->voters.end(),
      [&](const PeerAddress& voter) { return voter.id == settings->node; });
  if (!included) {
    walk->Note(*voters, "'voters' must include this process, '" +
                            settings->node.Value() + "'");
  }
}

}  // namespace

ControlSettings ReadControlSettings(const std::string& path) {
  DocumentWalk walk(detail::ReadWholeFile(path), path);
  ControlSettings settings;
  const YAML::Node& root = walk.Root();
  if (walk.ExpectMapping(
          root, "the settings of a control process",
          {"node", "zone", "region", "listen", "peer_url", "voters",
           "data_folder", "operator_secret", "member_lost_after", "log"})) {
    walk.ReadId(root, "node", Need::kRequired, &settings.node);
    walk.ReadId(root, "zone", Need::kRequired, &settings.zone);
    walk.ReadText(root, "region", Need::kRequired, &settings.region);
    walk.ReadEndpoint(root, "listen", Need::kRequired, &settings.listen);
    walk.ReadPeerUrl(root, "peer_url", Need::kRequired, &settings.peer_url);
    ReadVoters(&walk, root, &settings);
    walk.ReadText(root, "data_folder", Need::kRequired, &settings.data_folder);
    walk.ReadSecret(root, "operator_secret", &settings.operator_secret);
    walk.ReadDuration(root, "member_lost_after", Need::kOptional,
                      &settings.member_lost_after);
    detail::ReadLog(&walk, root, &settings.log);
  }
  walk.ThrowFindings();
  return settings;
}

}  // namespace lacewingferry
