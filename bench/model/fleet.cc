#include "bench/model/fleet.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kStatus[] = "STATUS";
/** The numbers of two runs of a proxy are this far apart. */
constexpr std::uint64_t kIncarnationStep = 1ULL << 32U;

/** Stores how many rows a statement changed, which is all that the fake's
 * writes answer. */
AnswerCodec PlainCodec() {
  return AnswerCodec{
      [](const ResultSet& rows) { return std::to_string(rows.affected_rows); },
      [](const std::string& text) {
        ResultSet rows;
        rows.affected_rows = std::stoull(text);
        return rows;
      }};
}

}  // namespace

FleetOptions KraanwaterOptions() {
  FleetOptions options;
  options.zones = {AvailabilityZone("nh-a"), AvailabilityZone("gl-a"),
                   AvailabilityZone("nb-a")};
  options.group.connect_delay = milliseconds(10);
  return options;
}

FleetOptions WanjiruOptions() {
  FleetOptions options;
  options.zones = {AvailabilityZone("nairobi-a"), AvailabilityZone("mombasa-a"),
                   AvailabilityZone("kisumu-a")};
  options.slots = 2;
  options.between_zones = milliseconds(8);
  options.to_callers = milliseconds(3);
  options.group.connect_delay = milliseconds(30);
  return options;
}

Fleet::Fleet(EventQueue& event_queue, FleetOptions fleet_options)
    : queue(event_queue),
      options(std::move(fleet_options)),
      network(event_queue, this->options.between_zones,
              this->options.inside_zone),
      group(event_queue, this->network, this->options.group),
      database("database-1") {
  for (std::size_t i = 0; i < this->options.zones.size(); ++i) {
    MemberInfo info;
    info.id = this->MemberName(i);
    info.database = this->database;
    info.group = GroupId("group");
    info.zone = this->options.zones[i];
    info.slots = this->options.slots;
    this->group.AddMember(info);
  }
  this->primary = this->MemberName(0);
  for (const AvailabilityZone& zone : this->options.zones) {
    for (std::uint32_t i = 0; i < this->options.proxies_per_zone; ++i) {
      auto proxy = std::make_unique<Proxy>();
      proxy->info.id = NodeId(zone.Value() + "-proxy-" + std::to_string(i));
      proxy->info.zone = zone;
      this->proxies.push_back(std::move(proxy));
    }
  }
  for (auto& proxy : this->proxies) this->Boot(*proxy);
}

MemberId Fleet::MemberName(std::size_t number) const {
  return MemberId("member-" + std::to_string(number));
}

void Fleet::Boot(Proxy& proxy) {
  proxy.alive = true;
  TrafficHooks hooks;
  hooks.port = this->group.PortFor(proxy.info.zone, &proxy.events);
  hooks.events.record = [](const Event&) {};
  hooks.send = [this, &proxy](const NodeId& to, const PeerBody& body) {
    this->Send(proxy, to, body);
  };
  hooks.codec = PlainCodec();
  hooks.observe = this->options.observe;
  TrafficSettings settings;
  settings.node = proxy.info.id;
  settings.zone = proxy.info.zone;
  settings.status_sql = kStatus;
  settings.incarnation = ++this->boots * kIncarnationStep;
  proxy.shard = std::make_unique<TrafficShard>(hooks, settings, 0, 1);
  proxy.events =
      MemberEvents{[this, &proxy](ConnectionId id) {
                     proxy.shard->OnOpened(this->queue.Now(), id);
                     this->Arm(proxy);
                   },
                   [this, &proxy](ConnectionId id, ConnectionFailure failure) {
                     proxy.shard->OnLost(this->queue.Now(), id, failure);
                     this->Arm(proxy);
                   },
                   [this, &proxy](ConnectionId id, const BatchResult& result) {
                     proxy.shard->OnCompleted(this->queue.Now(), id, result);
                     this->Arm(proxy);
                   }};
  proxy.shard->OnView(this->queue.Now(), this->MakeView());
  this->Arm(proxy);
}

void Fleet::Arm(Proxy& proxy) {
  const auto next = proxy.shard->NextWakeup();
  if (!next || *next == proxy.armed_for) return;
  proxy.armed_for = *next;
  this->queue.At(*next,
                 [this, &proxy, time = *next, shard = proxy.shard.get()] {
                   if (!proxy.alive || proxy.shard.get() != shard) return;
                   if (proxy.armed_for != time) return;
                   proxy.armed_for = steady_clock::time_point();
                   proxy.shard->OnTick(this->queue.Now());
                   this->Arm(proxy);
                 });
}

Fleet::Proxy* Fleet::Find(const NodeId& id) {
  for (auto& proxy : this->proxies) {
    if (proxy->info.id == id) return proxy.get();
  }
  return nullptr;
}

void Fleet::Send(Proxy& from, const NodeId& to, const PeerBody& body) {
  Proxy* target = this->Find(to);
  if (target == nullptr || !from.alive) return;
  ++this->messages;
  if (this->send_observer) {
    const auto number = std::find_if(
        this->proxies.begin(), this->proxies.end(),
        [&from](const auto& proxy) { return proxy.get() == &from; });
    this->send_observer(
        static_cast<std::size_t>(number - this->proxies.begin()), body);
  }
  this->network.Deliver(from.info.zone, target->info.zone,
                        [this, target, sender = from.info.id, body] {
                          if (target->alive) {
                            this->Receive(*target, sender, body);
                          }
                        });
}

void Fleet::Receive(Proxy& proxy, const NodeId& from, const PeerBody& body) {
  if (const auto* forward = std::get_if<ForwardRequest>(&body)) {
    proxy.shard->OnForward(this->queue.Now(), from, *forward);
  } else if (const auto* reply = std::get_if<ForwardReply>(&body)) {
    proxy.shard->OnForwardReply(this->queue.Now(), from, *reply);
  } else if (const auto* probe = std::get_if<PositionProbe>(&body)) {
    proxy.shard->OnProbe(this->queue.Now(), from, *probe);
  } else if (const auto* sample = std::get_if<PositionSample>(&body)) {
    proxy.shard->OnSample(this->queue.Now(), *sample);
  }
  this->Arm(proxy);
}

void Fleet::Submit(std::size_t number, const StatementRequest& request,
                   ReplyHook reply) {
  Proxy* proxy = this->proxies[number].get();
  this->queue.After(this->options.to_callers, [this, proxy, request, reply] {
    if (!proxy->alive) return;
    proxy->shard->Submit(
        this->queue.Now(), request, [this, reply](const Outcome& outcome) {
          this->queue.After(this->options.to_callers,
                            [reply, outcome] { reply(outcome); });
        });
    this->Arm(*proxy);
  });
}

void Fleet::KillProxy(std::size_t number) {
  Proxy& proxy = *this->proxies[number];
  proxy.alive = false;
  this->group.BreakConnectionsOf(&proxy.events);
}

void Fleet::StartProxy(std::size_t number) {
  Proxy& proxy = *this->proxies[number];
  proxy.armed_for = steady_clock::time_point();
  this->Boot(proxy);
}

RoutingViewPtr Fleet::MakeView() const {
  auto view = std::make_shared<RoutingView>();
  for (const auto& proxy : this->proxies) {
    if (proxy->alive) view->proxies.push_back(proxy->info);
  }
  DatabaseView& entry = view->databases[this->database];
  entry.id = this->database;
  entry.term = this->term;
  entry.primary = this->primary;
  entry.group_size = static_cast<std::uint32_t>(this->options.zones.size());
  for (const auto& member : this->group.Members()) {
    entry.members.push_back(
        RoutedMember{member.second.info,
                     AssignSlotOwners(member.second.info, view->proxies)});
  }
  return view;
}

void Fleet::Publish(std::uint64_t new_term, const MemberId& new_primary) {
  this->term = new_term;
  this->primary = new_primary;
  const RoutingViewPtr view = this->MakeView();
  for (auto& proxy : this->proxies) {
    if (!proxy->alive) continue;
    proxy->shard->OnView(this->queue.Now(), view);
    this->Arm(*proxy);
  }
}

}  // namespace lacewingferry::model
