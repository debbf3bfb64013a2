#include "bench/processes/cluster_plan.h"

namespace lacewingferry::processes {
namespace {

using NextPort = std::function<std::uint16_t()>;

const char kHost[] = "127.0.0.1";

/** The region of a zone: its name without the zone's letter. */
std::string RegionOf(const AvailabilityZone& zone) {
  const std::string& name = zone.Value();
  return name.substr(0, name.rfind('-'));
}

std::vector<PlannedNode> PlanNodes(const Deployment& deployment,
                                   const std::string& kind,
                                   const NextPort& next_port) {
  std::vector<PlannedNode> nodes;
  for (const AvailabilityZone& zone : deployment.zones) {
    PlannedNode node;
    node.id = NodeId(kind + "-" + zone.Value());
    node.zone = zone;
    node.region = RegionOf(zone);
    node.listen = Endpoint{kHost, next_port()};
    nodes.push_back(node);
  }
  for (PlannedNode& node : nodes) {
    node.peer_url =
        std::string("tcp://") + kHost + ":" + std::to_string(next_port());
  }
  return nodes;
}

std::vector<PlannedMember> PlanMembers(const Deployment& deployment,
                                       const DatabaseId& database,
                                       std::size_t first_zone,
                                       const NextPort& next_port) {
  std::vector<PlannedMember> members;
  const std::size_t zones = deployment.zones.size();
  for (std::size_t i = 0; i < zones; ++i) {
    PlannedMember member;
    member.zone = deployment.zones[(first_zone + i) % zones];
    member.id = MemberId(database.Value() + "-" + member.zone.Value());
    member.database = database;
    member.listen = Endpoint{kHost, next_port()};
    member.replication = Endpoint{kHost, next_port()};
    member.first_primary = i == 0;
    members.push_back(member);
  }
  for (PlannedMember& member : members) {
    member.follows = members.front().replication;
  }
  return members;
}

}  // namespace

ClusterPlan MakeClusterPlan(const Deployment& deployment,
                            std::uint32_t database_count,
                            const NextPort& next_port) {
  ClusterPlan plan;
  plan.deployment = deployment;
  plan.proxies = PlanNodes(deployment, "proxy", next_port);
  plan.controls = PlanNodes(deployment, "control", next_port);
  for (std::uint32_t i = 0; i < database_count; ++i) {
    const DatabaseId database(deployment.group.Value() + "-" +
                              std::to_string(i + 1));
    plan.databases.push_back(database);
    const auto members = PlanMembers(deployment, database, i, next_port);
    plan.members.insert(plan.members.end(), members.begin(), members.end());
  }
  return plan;
}

ReleaseNote FirstNoteOf(const ClusterPlan& plan) {
  ReleaseNote note;
  note.id = NoteId("first");
  note.author = "operator";
  DatabaseGroup group;
  group.id = plan.deployment.group;
  group.databases = plan.databases;
  group.members = static_cast<std::uint32_t>(plan.deployment.zones.size());
  group.slots = plan.deployment.slots;
  note.added.groups = {group};
  for (const PlannedNode& node : plan.proxies) {
    FrontProxy proxy;
    proxy.id = node.id;
    proxy.zone = node.zone;
    proxy.region = node.region;
    proxy.peer_url = node.peer_url;
    note.added.proxies.push_back(proxy);
  }
  return note;
}

}  // namespace lacewingferry::processes
