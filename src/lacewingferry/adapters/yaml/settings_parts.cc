#include "lacewingferry/adapters/yaml/settings_parts.h"

#include <set>
#include <string>

namespace lacewingferry::detail {
namespace {

using Need = DocumentWalk::Need;

}  // namespace

std::vector<PeerAddress> ReadPeers(DocumentWalk* walk,
                                   const YAML::Node& mapping, const char* key,
                                   Need need) {
  std::vector<PeerAddress> peers;
  std::set<NodeId> seen;
  walk->ReadSequence(mapping, key, need, [&](const YAML::Node& item) {
    if (!walk->ExpectMapping(item, std::string("an item of '") + key + "'",
                             {"id", "url"})) {
      return;
    }
    PeerAddress peer;
    walk->ReadId(item, "id", Need::kRequired, &peer.id);
    walk->ReadPeerUrl(item, "url", Need::kRequired, &peer.url);
    if (!peer.id.Empty() && !seen.insert(peer.id).second) {
      walk->Note(*walk->Find(item, "id", Need::kRequired),
                 "id '" + peer.id.Value() + "' stands twice in '" + key + "'");
    }
    peers.push_back(peer);
  });
  return peers;
}

void ReadLog(DocumentWalk* walk, const YAML::Node& mapping,
             LogSettings* target) {
  const YAML::Node* log = walk->Find(mapping, "log", Need::kOptional);
  if (log == nullptr ||
      !walk->ExpectMapping(*log, "'log'", {"file", "level", "output"})) {
    return;
  }
  walk->ReadText(*log, "file", Need::kOptional, &target->file);
  std::string output;
  walk->ReadText(*log, "output", Need::kOptional, &output);
  target->standard_output = output == "stdout";
  if (!output.empty() && output != "stdout") {
    walk->Note(*walk->Find(*log, "output", Need::kRequired),
               "'output' must be stdout, not '" + output + "'");
  }
  std::string level = target->level;
  walk->ReadText(*log, "level", Need::kOptional, &level);
  static const std::set<std::string> kLevels = {"debug", "info", "warning",
                                                "error"};
  if (kLevels.count(level) == 0) {
    walk->Note(
        *walk->Find(*log, "level", Need::kRequired),
        "'level' must be debug, info, warning or error, not '" + level + "'");
    return;
  }
  target->level = level;
}

}  // namespace lacewingferry::detail
