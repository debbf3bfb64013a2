#include "bench/model/membership_fleet.h"

#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kLookInterval{10};
/** The first proxies are the seeds. */
constexpr std::size_t kSeedCount = 3;
constexpr std::size_t kMembersPerDatabase = 3;
/** One-way latencies with their spread. */
constexpr microseconds kInside{500};
constexpr microseconds kBetween{20000};
constexpr std::uint16_t kPeerPort = 7100;
constexpr std::uint16_t kMemberPort = 5432;

std::string HostOf(int network, std::size_t number) {
  return "10." + std::to_string(network) + "." + std::to_string(number / 250) +
         "." + std::to_string(number % 250 + 1);
}

std::string UrlOf(std::size_t process) {
  return "tcp://" + HostOf(1, process) + ":" + std::to_string(kPeerPort);
}

std::size_t ProcessAt(const std::string& url) {
  const std::size_t dot = url.find('.', url.find('.') + 1);
  const std::size_t second = url.find('.', dot + 1);
  return std::stoul(url.substr(dot + 1)) * 250 +
         std::stoul(url.substr(second + 1)) - 1;
}

AvailabilityZone ZoneName(std::size_t zone) {
  return AvailabilityZone("zone-" + std::to_string(zone));
}

MemberAnnouncement FirstAnnouncement(std::size_t number, std::size_t zone) {
  MemberAnnouncement made;
  const std::string database =
      "permit-db-" + std::to_string(number / kMembersPerDatabase);
  made.info.id =
      MemberId(database + "-" + std::to_string(number % kMembersPerDatabase));
  made.info.database = DatabaseId(database);
  made.info.group = GroupId("permit-db");
  made.info.zone = ZoneName(zone);
  made.info.endpoint = Endpoint{HostOf(2, number), kMemberPort};
  made.info.slots = 5;
  made.replication_endpoint = made.info.endpoint;
  made.primary = number % kMembersPerDatabase == 0;
  made.term = 1;
  return made;
}

}  // namespace

MembershipFleet::MembershipFleet(MembershipFleetSettings fleet_settings)
    : settings(fleet_settings), random(fleet_settings.seed) {
  const std::size_t count = this->settings.proxies + this->settings.controls;
  for (std::size_t i = 0; i < count; ++i) {
    Process process;
    const bool proxy = i < this->settings.proxies;
    const std::string name = proxy ? "proxy-" : "control-";
    process.role = proxy ? NodeRole::kProxy : NodeRole::kControl;
    process.info = ProxyInfo{NodeId(name + std::to_string(i)),
                             ZoneName(this->ZoneOf(i)), UrlOf(i), false};
    this->processes.push_back(std::move(process));
  }
  for (std::size_t i = 0; i < count; ++i) this->Start(i);
  for (std::size_t i = 0; i < this->settings.members; ++i) {
    Member member;
    member.announcement = FirstAnnouncement(i, this->ZoneOf(i));
    this->members.push_back(member);
    this->RestartMember(i);
    const milliseconds phase(this->random() % kAnnounceInterval.count());
    this->queue.After(phase, [this, i] { this->Announce(i); });
  }
}

void MembershipFleet::RunFor(milliseconds duration) {
  this->queue.RunUntil(this->queue.Now() + duration);
}

std::optional<milliseconds> MembershipFleet::RunUntil(
    const std::function<bool()>& holds, milliseconds limit) {
  for (milliseconds spent{0}; spent <= limit; spent += kLookInterval) {
    if (holds()) return spent;
    this->RunFor(kLookInterval);
  }
  return std::nullopt;
}

void MembershipFleet::Kill(std::size_t process) {
  this->processes[process].node.reset();
}

std::vector<std::string> MembershipFleet::SeedsOf(NodeRole role) const {
  std::vector<std::string> seeds;
  const bool control =
      role == NodeRole::kControl && this->settings.control_seeds;
  const std::size_t first = control ? this->settings.proxies : 0;
  const std::size_t count = control ? this->settings.controls : kSeedCount;
  for (std::size_t i = 0; i < count; ++i) seeds.push_back(UrlOf(first + i));
  return seeds;
}

void MembershipFleet::Start(std::size_t number) {
  Process& process = this->processes[number];
  // Of the size that a wall clock in microseconds gives.
  constexpr std::uint64_t kFirstIncarnation = 1764845059000000;
  process.incarnation = kFirstIncarnation + ++this->last_incarnation;
  MembershipSettings node;
  node.self = process.info;
  node.role = process.role;
  node.incarnation = process.incarnation;
  node.seeds = this->SeedsOf(process.role);
  node.random_seed = this->random();
  node.faults = this->settings.faults;
  MembershipHooks hooks;
  hooks.send = [this, number](const std::string& url, const PeerBody& body) {
    this->Send(number, url, body);
  };
  hooks.changed = [this, number](const MembershipRecord& record) {
    if (this->changed) this->changed(number, record);
  };
  process.node = std::make_unique<MembershipNode>(node, hooks);
  const microseconds phase(this->random() % 50000);
  const std::uint64_t run = process.incarnation;
  this->queue.After(phase, [this, number, run] { this->Tick(number, run); });
}

void MembershipFleet::RestartMember(std::size_t member) {
  MemberAnnouncement& made = this->members[member].announcement;
  made.incarnation = this->processes[0].incarnation + ++this->last_incarnation;
  made.sequence = 0;
  made.info.leaving = false;
  this->members[member].up = true;
}

void MembershipFleet::SetCutOff(std::size_t zone, bool cut) {
  if (cut) {
    this->cut_off.insert(zone);
  } else {
    this->cut_off.erase(zone);
  }
}

bool MembershipFleet::Everywhere(
    const std::function<bool(const MembershipNode&)>& holds) const {
  for (const Process& process : this->processes) {
    if (process.node != nullptr && !holds(*process.node)) return false;
  }
  return true;
}

bool MembershipFleet::Converged() const {
  std::size_t up = 0;
  for (const Process& process : this->processes) up += process.node ? 1 : 0;
  std::size_t members_up = 0;
  for (const Member& member : this->members) members_up += member.up ? 1 : 0;
  return this->Everywhere([&](const MembershipNode& node) {
    std::size_t nodes = 0;
    std::size_t known = 0;
    node.Table().ForEachNode([&nodes](const NodeState&) { ++nodes; });
    node.Table().ForEachMember(
        [&known](const MemberAnnouncement&) { ++known; });
    return nodes == up && known == members_up;
  });
}

std::size_t MembershipFleet::AnyProxy(bool relay) const {
  std::size_t i = 0;
  while (this->processes[i].node == nullptr ||
         this->processes[i].node->IsRelay() != relay) {
    ++i;
  }
  return i;
}

bool MembershipFleet::Happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

microseconds MembershipFleet::Delay(std::size_t from, std::size_t to) {
  const bool inside = this->ZoneOf(from) == this->ZoneOf(to);
  const microseconds base = inside ? kInside : kBetween;
  const microseconds spread(this->random() % (base.count() + 1));
  if (!this->Happens(this->settings.late)) return base + spread;
  return base + milliseconds(this->random() % this->settings.late_by.count());
}

void MembershipFleet::Send(std::size_t from, const std::string& url,
                           const PeerBody& body) {
  const std::size_t to = ProcessAt(url);
  const ProxyInfo& sender = this->processes[from].info;
  const PeerMessage message{sender.id, sender.peer_url, body};
  if (this->tap) this->tap(from, to, message);
  if (!this->Happens(this->settings.loss)) this->Deliver(from, to, message);
  if (this->Happens(this->settings.doubled)) this->Deliver(from, to, message);
}

void MembershipFleet::Deliver(std::size_t from, std::size_t to,
                              const PeerMessage& message) {
  this->queue.After(this->Delay(from, to), [this, from, to, message] {
    const std::size_t a = this->ZoneOf(from);
    const std::size_t b = this->ZoneOf(to);
    const bool cut = this->cut_off.count(a) + this->cut_off.count(b) > 0;
    if (a != b && cut) return;
    MembershipNode* node = this->processes[to].node.get();
    if (node != nullptr) node->OnMessage(this->queue.Now(), message);
  });
}

void MembershipFleet::Tick(std::size_t number, std::uint64_t run) {
  Process& process = this->processes[number];
  if (process.node == nullptr || process.incarnation != run) return;
  process.node->OnTick(this->queue.Now());
  this->queue.At(process.node->NextWakeup(),
                 [this, number, run] { this->Tick(number, run); });
}

void MembershipFleet::Announce(std::size_t number) {
  this->queue.After(kAnnounceInterval,
                    [this, number] { this->Announce(number); });
  Member& member = this->members[number];
  if (!member.up) return;
  ++member.announcement.sequence;
  std::vector<std::size_t> reachable;
  for (std::size_t i = 0; i < this->settings.proxies; ++i) {
    const bool own_zone = this->ZoneOf(i) == this->ZoneOf(number);
    if (own_zone && this->processes[i].node != nullptr) reachable.push_back(i);
  }
  if (reachable.empty()) return;
  const std::size_t to = reachable[this->random() % reachable.size()];
  const MemberAnnouncement made = member.announcement;
  this->queue.After(this->Delay(number, to), [this, to, made] {
    MembershipNode* node = this->processes[to].node.get();
    if (node != nullptr) node->OnAnnouncement(this->queue.Now(), made);
  });
}

}  // namespace lacewingferry::model
