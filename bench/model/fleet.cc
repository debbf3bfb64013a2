#include "bench/model/fleet.h"

#include <algorithm>
#include <utility>

#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

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
      database("database-1"),
      group_size(static_cast<std::uint32_t>(this->options.zones.size())),
      seats(event_queue, this->options.seat_timings, this->SeatHooks()) {
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
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < this->proxies.size(); ++i) all.push_back(i);
  this->NameProxies(all);
  for (auto& proxy : this->proxies) this->Boot(*proxy);
}

void Fleet::NameProxies(const std::vector<std::size_t>& numbers) {
  ++this->configuration.revision;
  this->configuration.proxies.clear();
  for (const std::size_t number : numbers) {
    const ProxyInfo& info = this->proxies[number]->info;
    FrontProxy named;
    named.id = info.id;
    named.zone = info.zone;
    this->configuration.proxies.emplace(info.id, named);
  }
}

void Fleet::TellConfiguration(std::size_t proxy) {
  this->seats.Configure(this->proxies[proxy]->info.id, this->configuration);
}

MemberId Fleet::MemberName(std::size_t number) const {
  return MemberId("member-" + std::to_string(number));
}

void Fleet::Wake(Proxy& proxy, std::function<void(TrafficShard&)> action) {
  if (!proxy.alive) return;
  if (proxy.paused_until <= this->queue.Now()) {
    action(*proxy.shard);
    this->Arm(proxy);
    return;
  }
  this->queue.At(proxy.paused_until,
                 [this, &proxy, shard = proxy.shard.get(), action] {
                   if (proxy.shard.get() == shard) this->Wake(proxy, action);
                 });
}

MemberEvents Fleet::EventsOf(Proxy& proxy) {
  return MemberEvents{
      [this, &proxy](ConnectionId id) {
        this->Wake(proxy, [this, id](TrafficShard& shard) {
          shard.OnOpened(this->queue.Now(), id);
        });
      },
      [this, &proxy](ConnectionId id, ConnectionFailure failure) {
        this->Wake(proxy, [this, id, failure](TrafficShard& shard) {
          shard.OnLost(this->queue.Now(), id, failure);
        });
      },
      [this, &proxy](ConnectionId id, const MemberBatchResult& result) {
        this->Wake(proxy, [this, id, result](TrafficShard& shard) {
          shard.OnCompleted(this->queue.Now(), id, result);
        });
      }};
}

void Fleet::PauseProxy(std::size_t number, std::chrono::nanoseconds time) {
  this->proxies[number]->paused_until =
      this->queue.Now() +
      std::chrono::duration_cast<steady_clock::duration>(time);
}

void Fleet::Boot(Proxy& proxy) {
  proxy.paused_until = {};
  proxy.alive = true;
  TrafficHooks hooks;
  hooks.port = this->group.PortFor(proxy.info.zone, &proxy.events);
  if (this->options.wrap_port) {
    hooks.port = this->options.wrap_port(std::move(hooks.port));
  }
  hooks.events.record = [](const Event&) {};
  hooks.send = [this, &proxy](const NodeId& to, const PeerBody& body) {
    this->Send(proxy, to, body);
  };
  hooks.codec = PlainCodec();
  hooks.observe = this->options.observe;
  TrafficSettings settings;
  settings.node = proxy.info.id;
  settings.zone = proxy.info.zone;
  settings.first_lease = this->options.first_lease;
  settings.transactions = this->options.transactions;
  settings.incarnation = ++this->boots * kIncarnationStep;
  settings.needs_seats = this->options.seats;
  proxy.shard = std::make_unique<TrafficShard>(hooks, settings, 0, 1);
  proxy.events = this->EventsOf(proxy);
  if (this->options.seats) {
    const double drift =
        this->options.clock_drift * static_cast<double>(this->boots % 3);
    this->seats.Boot(proxy.info.id, this->boots, drift);
    this->seats.Configure(proxy.info.id, this->configuration);
  }
  this->Show(proxy, this->MakeView());
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
                   this->Wake(proxy, [this](TrafficShard& woken) {
                     woken.OnTick(this->queue.Now());
                   });
                 });
}

Fleet::Proxy* Fleet::Find(const NodeId& id) {
  for (auto& proxy : this->proxies) {
    if (proxy->info.id == id) return proxy.get();
  }
  return nullptr;
}

void Fleet::Observe(const Proxy& from, const PeerBody& body) {
  ++this->messages;
  if (!this->send_observer) return;
  const auto number =
      std::find_if(this->proxies.begin(), this->proxies.end(),
                   [&from](const auto& proxy) { return proxy.get() == &from; });
  this->send_observer(static_cast<std::size_t>(number - this->proxies.begin()),
                      body);
}

void Fleet::Send(Proxy& from, const NodeId& to, const PeerBody& body) {
  Proxy* target = this->Find(to);
  if (target == nullptr || !from.alive) return;
  if (from.cut || target->cut) return;
  this->Observe(from, body);
  this->network.Deliver(
      from.info.zone, target->info.zone,
      [this, target, sender = from.info.id, body, sent_at = this->queue.Now()] {
        if (target->alive) {
          this->Receive(*target, sender, body, sent_at);
        }
      });
}

void Fleet::Receive(Proxy& proxy, const NodeId& from, const PeerBody& body,
                    steady_clock::time_point sent_at) {
  this->Wake(proxy, [this, from, body, sent_at](TrafficShard& shard) {
    this->message_sent_at = sent_at;
    if (const auto* forward = std::get_if<ForwardRequest>(&body)) {
      shard.OnForward(this->queue.Now(), from, *forward);
    } else if (const auto* reply = std::get_if<ForwardReply>(&body)) {
      shard.OnForwardReply(this->queue.Now(), from, *reply);
    } else if (const auto* probe = std::get_if<PositionProbe>(&body)) {
      shard.OnProbe(this->queue.Now(), from, *probe);
    } else if (const auto* sample = std::get_if<PositionSample>(&body)) {
      shard.OnSample(this->queue.Now(), *sample);
    }
    this->message_sent_at.reset();
  });
}

void Fleet::Submit(std::size_t number, const StatementRequest& request,
                   ReplyHook reply) {
  Proxy* proxy = this->proxies[number].get();
  this->queue.After(this->options.to_callers, [this, proxy, request, reply] {
    this->Wake(*proxy, [this, request, reply](TrafficShard& shard) {
      shard.Submit(this->queue.Now(), request,
                   [this, reply](const Outcome& outcome) {
                     const auto made_at =
                         this->message_sent_at.value_or(this->queue.Now());
                     this->queue.After(this->options.to_callers,
                                       [this, reply, outcome, made_at] {
                                         this->answer_made_at = made_at;
                                         reply(outcome);
                                       });
                   });
    });
  });
}

void Fleet::KillProxy(std::size_t number) {
  Proxy& proxy = *this->proxies[number];
  proxy.alive = false;
  this->seats.Kill(proxy.info.id);
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
  entry.group_size = this->group_size;
  for (const auto& member : this->group.Members()) {
    entry.counted_members.push_back(member.first);
    entry.members.push_back(
        RoutedMember{member.second.info,
                     AssignSlotOwners(member.second.info, view->proxies)});
  }
  return view;
}

void Fleet::RenewLeases(const AvailabilityZone& zone,
                        steady_clock::time_point until) {
  for (auto& proxy : this->proxies) {
    if (!proxy->alive || proxy->info.zone != zone) continue;
    this->Wake(*proxy, [this, until](TrafficShard& shard) {
      shard.OnLease(this->queue.Now(), until);
    });
  }
}

void Fleet::CutProxy(std::size_t proxy, bool cut) {
  this->proxies[proxy]->cut = cut;
}

FleetSeatHooks Fleet::SeatHooks() {
  FleetSeatHooks hooks;
  hooks.deliver = [this](const NodeId& from, const NodeId& to,
                         const PeerBody& body, std::function<void()> action) {
    const Proxy* sender = this->Find(from);
    const Proxy* target = this->Find(to);
    if (sender->cut || target->cut) return;
    this->Observe(*sender, body);
    this->network.Deliver(sender->info.zone, target->info.zone,
                          std::move(action));
  };
  hooks.publish = [this](const NodeId& id, const SeatTablePtr& table,
                         std::function<void(const SeatReport&)> report) {
    this->Wake(*this->Find(id), [this, table, report](TrafficShard& shard) {
      report(shard.OnSeats(this->queue.Now(), table));
    });
  };
  return hooks;
}

void Fleet::Show(Proxy& proxy, const RoutingViewPtr& view) {
  this->Wake(proxy, [this, view](TrafficShard& shard) {
    shard.OnView(this->queue.Now(), view);
  });
  if (this->options.seats) this->seats.OnView(proxy.info.id, *view);
}

void Fleet::SetPrimary(std::uint64_t new_term, const MemberId& new_primary) {
  this->term = new_term;
  this->primary = new_primary;
}

void Fleet::PublishTo(const AvailabilityZone& zone) {
  const RoutingViewPtr view = this->MakeView();
  for (auto& proxy : this->proxies) {
    if (!proxy->alive || proxy->info.zone != zone) continue;
    if (!proxy->cut) this->Show(*proxy, view);
  }
}

void Fleet::Publish(std::uint64_t new_term, const MemberId& new_primary) {
  this->SetPrimary(new_term, new_primary);
  for (const AvailabilityZone& zone : this->options.zones) {
    this->PublishTo(zone);
  }
}

}  // namespace lacewingferry::model
