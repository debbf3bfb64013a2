#ifndef LACEWINGFERRY_ADAPTERS_YAML_SETTINGS_PARTS_H_
#define LACEWINGFERRY_ADAPTERS_YAML_SETTINGS_PARTS_H_

// Defines the readers of those parts of a settings file that both programs
// have: peers and the log.

#include <vector>

#include "lacewingferry/adapters/yaml/document_walk.h"
#include "lacewingferry/core/settings.h"

namespace lacewingferry::detail {

/** Reads a list of {id, url}, none of whose identifiers stands twice. */
std::vector<PeerAddress> ReadPeers(DocumentWalk* walk,
                                   const YAML::Node& mapping, const char* key,
                                   DocumentWalk::Need need);

/** Reads the optional part log: {file, level}. */
void ReadLog(DocumentWalk* walk, const YAML::Node& mapping,
             LogSettings* target);

}  // namespace lacewingferry::detail

#endif  // LACEWINGFERRY_ADAPTERS_YAML_SETTINGS_PARTS_H_
