#include "lacewingferry/adapters/yaml/fleet_settings_reader.h"

#include <cmath>
#include <limits>

#include "lacewingferry/adapters/yaml/document_walk.h"
#include "lacewingferry/adapters/yaml/settings_parts.h"

namespace lacewingferry {
namespace {

using detail::DocumentWalk;
using Need = DocumentWalk::Need;

constexpr std::uint64_t kMostPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t kMostLosses = 4;

void ReadPort(DocumentWalk* walk, const YAML::Node& mapping, const char* key,
              Need need, std::uint16_t* target) {
  std::uint64_t port = *target;
  walk->ReadNumber(mapping, key, need, 1, kMostPort, &port);
  *target = static_cast<std::uint16_t>(port);
}

/** The host of HOST:PORT. */
std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

void ReadControl(DocumentWalk* walk, const YAML::Node& root,
                 std::vector<NodeId>* target) {
  walk->ReadSequence(root, "control", Need::kRequired,
                     [&](const YAML::Node& item) {
                       if (!item.IsScalar() || item.Scalar().empty()) {
                         walk->Note(item, "'control' must list addresses");
                         return;
                       }
                       target->push_back(NodeId(HostOf(item.Scalar())));
                     });
}

void ReadRegions(DocumentWalk* walk, const YAML::Node& root,
                 std::map<AvailabilityZone, std::string>* target) {
  const YAML::Node* regions = walk->Find(root, "regions", Need::kRequired);
  if (regions == nullptr) return;
  if (!regions->IsMap()) {
    walk->Note(*regions, "'regions' must name the region of each zone");
    return;
  }
  for (const auto& entry : *regions) {
    (*target)[AvailabilityZone(entry.first.Scalar())] = entry.second.Scalar();
  }
}

void ReadNode(DocumentWalk* walk, const YAML::Node& root,
              FleetNodeSettings* node) {
  walk->ReadText(root, "name", Need::kRequired, &node->name);
  walk->ReadId(root, "address", Need::kRequired, &node->address);
  walk->ReadId(root, "zone", Need::kRequired, &node->zone);
  ReadRegions(walk, root, &node->regions);
  ReadPort(walk, root, "peer_port", Need::kRequired, &node->peer_port);
  ReadPort(walk, root, "metrics_port", Need::kRequired, &node->metrics_port);
  ReadControl(walk, root, &node->control);
  detail::ReadLog(walk, root, &node->log);
}

/** Reads a number of 0 or more, with a fraction or without. */
void ReadDecimal(DocumentWalk* walk, const YAML::Node& mapping, const char* key,
                 double* target) {
  const YAML::Node* value = walk->Find(mapping, key, Need::kOptional);
  if (value == nullptr) return;
  double number = -1;
  const bool read = value->IsScalar() &&
                    YAML::convert<double>::decode(*value, number) &&
                    std::isfinite(number) && number >= 0;
  if (read) {
    *target = number;
  } else {
    walk->Note(*value,
               std::string("'") + key + "' must be a number of 0 or more");
  }
}

void ReadLimits(DocumentWalk* walk, const YAML::Node& root,
                CustomerLimitSettings* limits) {
  const YAML::Node* mapping =
      walk->Find(root, "customer_limits", Need::kOptional);
  if (mapping == nullptr) return;
  if (!walk->ExpectMapping(*mapping, "customer_limits",
                           {"window", "overrun", "slack"})) {
    return;
  }
  walk->ReadDuration(*mapping, "window", Need::kOptional, &limits->window);
  ReadDecimal(walk, *mapping, "overrun", &limits->overrun);
  ReadDecimal(walk, *mapping, "slack", &limits->slack);
}

/** Reads scalars under names that only the platform's adapter knows. */
void ReadPlatformBounds(DocumentWalk* walk, const YAML::Node& root,
                        std::map<std::string, std::string>* bounds) {
  const YAML::Node* mapping =
      walk->Find(root, "platform_bounds", Need::kOptional);
  if (mapping == nullptr) return;
  if (!mapping->IsMap()) {
    walk->Note(*mapping, "'platform_bounds' must be a mapping");
    return;
  }
  for (const auto& bound : *mapping) {
    if (!bound.first.IsScalar() || !bound.second.IsScalar()) continue;
    (*bounds)[bound.first.Scalar()] = bound.second.Scalar();
  }
}

void ReadFlag(DocumentWalk* walk, const YAML::Node& root, const char* key,
              bool* target) {
  std::string text;
  walk->ReadText(root, key, Need::kRequired, &text);
  *target = text == "true";
  if (text.empty() || text == "true" || text == "false") return;
  walk->Note(root, std::string("'") + key + "' must be true or false");
}

}  // namespace

SessionProxySettings ReadSessionProxySettings(const std::string& path) {
  DocumentWalk walk(detail::ReadWholeFile(path), path);
  SessionProxySettings settings;
  const YAML::Node& root = walk.Root();
  if (walk.ExpectMapping(root, "the settings of a proxy of sessions",
                         {"name", "address", "zone", "regions", "peer_port",
                          "metrics_port", "control", "log", "listen",
                          "readiness", "relay_port", "stop_limit"})) {
    ReadNode(&walk, root, &settings.node);
    // The port beside it, unless the settings name another.
    settings.relay_port =
        static_cast<std::uint16_t>(settings.node.peer_port + 1);
    ReadPort(&walk, root, "relay_port", Need::kOptional, &settings.relay_port);
    walk.ReadEndpoint(root, "listen", Need::kRequired, &settings.listen);
    walk.ReadEndpoint(root, "readiness", Need::kRequired, &settings.readiness);
    walk.ReadDuration(root, "stop_limit", Need::kOptional,
                      &settings.stop_limit);
  }
  walk.ThrowFindings();
  return settings;
}

FleetControlProgramSettings ReadFleetControlSettings(const std::string& path) {
  DocumentWalk walk(detail::ReadWholeFile(path), path);
  FleetControlProgramSettings settings;
  const YAML::Node& root = walk.Root();
  if (walk.ExpectMapping(
          root, "the settings of a control process of a fleet",
          {"name", "address", "zone", "regions", "peer_port", "metrics_port",
           "control", "log", "listen", "data_folder", "founding",
           "tolerated_losses", "promotion", "customer_limits",
           "platform_bounds", "stop_limit"})) {
    ReadNode(&walk, root, &settings.node);
    walk.ReadEndpoint(root, "listen", Need::kRequired, &settings.listen);
    walk.ReadText(root, "data_folder", Need::kRequired, &settings.data_folder);
    ReadFlag(&walk, root, "founding", &settings.founding);
    walk.ReadNumber(root, "tolerated_losses", Need::kRequired, 0, kMostLosses,
                    &settings.tolerated_losses);
    walk.ReadEndpoint(root, "promotion", Need::kRequired, &settings.promotion);
    ReadLimits(&walk, root, &settings.limits);
    settings.has_limits =
        walk.Find(root, "customer_limits", Need::kOptional) != nullptr;
    ReadPlatformBounds(&walk, root, &settings.platform_bounds);
    walk.ReadDuration(root, "stop_limit", Need::kOptional,
                      &settings.stop_limit);
  }
  walk.ThrowFindings();
  return settings;
}

}  // namespace lacewingferry
