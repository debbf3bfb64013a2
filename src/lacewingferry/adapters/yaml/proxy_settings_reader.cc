#include "lacewingferry/adapters/yaml/proxy_settings_reader.h"

#include <cstddef>
#include <cstdint>

#include "lacewingferry/adapters/yaml/document_walk.h"
#include "lacewingferry/adapters/yaml/settings_parts.h"

namespace lacewingferry {
namespace {

using detail::DocumentWalk;
using Need = DocumentWalk::Need;

constexpr std::uint64_t kMostTrafficThreads = 256;
constexpr std::uint64_t kMostBodyBytes = 1U << 30U;
constexpr std::uint64_t kMostCallerConnections = 1000000;

void ReadSize(DocumentWalk* walk, const YAML::Node& mapping, const char* key,
              std::uint64_t most, std::size_t* target) {
  std::uint64_t number = *target;
  walk->ReadNumber(mapping, key, Need::kOptional, 1, most, &number);
  *target = static_cast<std::size_t>(number);
}

void ReadDialect(DocumentWalk* walk, const YAML::Node& mapping,
                 MemberDialect* target) {
  const YAML::Node* node = walk->Find(mapping, "dialect", Need::kOptional);
  if (node == nullptr ||
      !walk->ExpectMapping(*node, "'dialect'",
                           {"status", "fence", "promote", "follow", "user"})) {
    return;
  }
  walk->ReadText(*node, "status", Need::kOptional, &target->status);
  walk->ReadText(*node, "fence", Need::kOptional, &target->fence);
  walk->ReadText(*node, "promote", Need::kOptional, &target->promote);
  walk->ReadText(*node, "follow", Need::kOptional, &target->follow);
  walk->ReadText(*node, "user", Need::kOptional, &target->user);
}

void ReadPlace(DocumentWalk* walk, const YAML::Node& root,
               ProxySettings* settings) {
  walk->ReadId(root, "node", Need::kRequired, &settings->node);
  walk->ReadId(root, "zone", Need::kRequired, &settings->zone);
  walk->ReadText(root, "region", Need::kRequired, &settings->region);
  walk->ReadEndpoint(root, "listen", Need::kRequired, &settings->listen);
  walk->ReadPeerUrl(root, "peer_url", Need::kRequired, &settings->peer_url);
  settings->peers = detail::ReadPeers(walk, root, "peers", Need::kOptional);
  settings->control = detail::ReadPeers(walk, root, "control", Need::kRequired);
}

void ReadLimits(DocumentWalk* walk, const YAML::Node& root,
                ProxySettings* settings) {
  ReadSize(walk, root, "traffic_threads", kMostTrafficThreads,
           &settings->traffic_threads);
  ReadSize(walk, root, "max_body_bytes", kMostBodyBytes,
           &settings->max_body_bytes);
  ReadSize(walk, root, "max_caller_connections", kMostCallerConnections,
           &settings->max_caller_connections);
  walk->ReadDuration(root, "max_timeout", Need::kOptional,
                     &settings->max_timeout);
  walk->ReadDuration(root, "default_timeout", Need::kOptional,
                     &settings->default_timeout);
  walk->ReadDuration(root, "drain_limit", Need::kOptional,
                     &settings->drain_limit);
}

}  // namespace

ProxySettings ReadProxySettings(const std::string& path) {
  DocumentWalk walk(detail::ReadWholeFile(path), path);
  ProxySettings settings;
  const YAML::Node& root = walk.Root();
  if (walk.ExpectMapping(
          root, "the settings of a proxy",
          {"node", "zone", "region", "listen", "peer_url", "peers", "control",
           "traffic_threads", "token_secret", "max_timeout", "default_timeout",
           "max_body_bytes", "max_caller_connections", "drain_limit", "dialect",
           "log"})) {
    ReadPlace(&walk, root, &settings);
    ReadLimits(&walk, root, &settings);
    walk.ReadSecret(root, "token_secret", &settings.token_secret);
    ReadDialect(&walk, root, &settings.dialect);
    detail::ReadLog(&walk, root, &settings.log);
  }
  walk.ThrowFindings();
  return settings;
}

}  // namespace lacewingferry
