#include "bench/model/failover_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "bench/model/scaled_time.h"
#include "lacewingferry/decisions/failover/member_command_statement.h"
#include "lacewingferry/decisions/ownership/slot_owners.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWriteTimeout{1500};

}  // namespace

FailoverFleet::FailoverFleet(EventQueue& event_queue,
                             FailoverFleetOptions fleet_options)
    : queue(event_queue),
      options(std::move(fleet_options)),
      network(event_queue, this->options.places.between_zones,
              this->options.places.inside_zone),
      group(event_queue, this->network, this->options.places.group),
      random(this->options.seed) {
  const auto& zones = this->options.places.zones;
  std::uniform_real_distribution<double> drift(-this->options.clock_drift,
                                               this->options.clock_drift);
  for (std::size_t i = 0; i < zones.size(); ++i) {
    this->members.push_back(this->NewMember(i));
    this->group.AddMember(this->members.back());
    for (std::uint32_t j = 0; j < this->options.places.proxies_per_zone; ++j) {
      auto proxy = std::make_unique<Proxy>();
      proxy->info.id = NodeId(zones[i].Value() + "/" + std::to_string(j));
      proxy->info.zone = zones[i];
      proxy->clock_rate += drift(this->random);
      this->proxy_infos.push_back(proxy->info);
      this->proxies.push_back(std::move(proxy));
    }
  }
  this->StartControl();
  std::uint64_t incarnation = 1;
  for (auto& proxy : this->proxies) this->StartProxy(*proxy, incarnation++);
  this->AnnounceMembers();
}

void FailoverFleet::StartControl() {
  FailoverControlOptions control_options;
  control_options.codec = this->options.codec;
  control_options.settings = this->options.settings;
  control_options.seed = this->random();
  control_options.send = [this](const NodeId& from, const NodeId& to,
                                const PeerBody& body) {
    this->Send(from, to, body);
  };
  control_options.owners = [this](const MemberInfo& member) {
    std::vector<NodeId> nodes;
    for (const SlotShare& share : AssignSlotOwners(member, this->proxy_infos)) {
      nodes.push_back(share.owner);
    }
    return nodes;
  };
  control_options.proxies = [this] {
    std::vector<NodeId> nodes;
    for (const ProxyInfo& info : this->proxy_infos) nodes.push_back(info.id);
    return nodes;
  };
  control_options.events.record = [this](const Event& event) {
    if (event.code == EventCode::kTailDropped) ++this->dropped_tails;
  };
  control_options.applied = [this](const DatabaseCommand& command,
                                   ApplyResult verdict) {
    this->OnApplied(command, verdict);
  };
  this->control =
      std::make_unique<FailoverControl>(this->queue, control_options);
}

void FailoverFleet::OnApplied(const DatabaseCommand& command,
                              ApplyResult verdict) {
  this->observed.Apply(command);
  if (verdict != ApplyResult::kApplied) return;
  this->entry = *this->observed.Find(DatabaseId(kDatabase));
  TermTimes& times = this->terms[this->entry.term];
  const auto now = this->queue.Now();
  if (std::holds_alternative<BeginTerm>(command.body)) times.begun = now;
  if (std::holds_alternative<ConfirmPrimary>(command.body)) {
    times.confirmed = now;
  }
  if (std::holds_alternative<ChoosePrimary>(command.body)) {
    times.chosen = now;
    this->chosen_term = this->entry.term;
  }
}

void FailoverFleet::StartProxy(Proxy& proxy, std::uint64_t incarnation) {
  TrafficSettings traffic;
  traffic.node = proxy.info.id;
  traffic.zone = proxy.info.zone;
  traffic.incarnation = incarnation << 32U;
  proxy.shard = std::make_unique<TrafficShard>(this->TrafficHooksOf(proxy),
                                               traffic, 0, 1);
  proxy.shard->OnLease(this->Local(proxy), this->Local(proxy));
  ProxyFailoverSettings settings;
  settings.self = proxy.info.id;
  settings.incarnation = incarnation;
  for (std::size_t i = 0; i < FailoverControl::kReplicas; ++i) {
    settings.control.push_back(FailoverControl::NodeOf(i));
  }
  settings.lease = this->options.holder_lease;
  proxy.failover = std::make_unique<ProxyFailover>(this->FailoverHooksOf(proxy),
                                                   std::move(settings));
  proxy.events = MemberEvents{
      [this, &proxy](ConnectionId id) {
        proxy.shard->OnOpened(this->Local(proxy), id);
        this->Arm(proxy);
      },
      [this, &proxy](ConnectionId id, ConnectionFailure failure) {
        proxy.shard->OnLost(this->Local(proxy), id, failure);
        this->Arm(proxy);
      },
      [this, &proxy](ConnectionId id, const MemberBatchResult& result) {
        proxy.shard->OnCompleted(this->Local(proxy), id, result);
        this->Arm(proxy);
      }};
  this->PublishView(proxy);
  this->Arm(proxy);
}

TrafficHooks FailoverFleet::TrafficHooksOf(Proxy& proxy) {
  TrafficHooks hooks;
  hooks.port = this->group.PortFor(proxy.info.zone, &proxy.events);
  hooks.events.record = [](const Event&) {};
  hooks.send = [this, &proxy](const NodeId& to, const PeerBody& body) {
    if (const auto* reply = std::get_if<ForwardReply>(&body)) {
      this->CheckAnswer(reply->outcome);
    }
    this->Send(proxy.info.id, to, body);
  };
  hooks.observe = [&proxy](const MemberId& member, MemberObservation sign,
                           steady_clock::time_point now) {
    if (proxy.failover) proxy.failover->OnSign(now, member, sign);
  };
  return hooks;
}

ProxyFailoverHooks FailoverFleet::FailoverHooksOf(Proxy& proxy) {
  ProxyFailoverHooks hooks;
  hooks.send = [this, &proxy](const NodeId& to, const PeerBody& body) {
    this->Send(proxy.info.id, to, body);
  };
  hooks.run_command =
      [this, &proxy](steady_clock::time_point now, const MemberCommand& command,
                     ProxyFailoverHooks::CommandResultHook done) {
        this->RunCommand(proxy, now, command, std::move(done));
      };
  hooks.probe = [this, &proxy](steady_clock::time_point,
                               const MemberInfo& member,
                               PrimaryObserverHooks::ProbeResultHook on_sight) {
    this->Probe(proxy, member, std::move(on_sight));
  };
  hooks.probe_server = hooks.probe;
  hooks.on_lease = [&proxy](steady_clock::time_point now,
                            const DatabaseStamp& stamp,
                            steady_clock::time_point until) {
    proxy.shard->OnDatabaseLease(now, stamp.database, until);
  };
  hooks.release_term = [&proxy](steady_clock::time_point now,
                                const DatabaseId& database,
                                std::uint64_t term) {
    proxy.shard->ReleaseTerm(now, database, term);
  };
  hooks.changed = [this, &proxy](steady_clock::time_point) {
    this->PublishView(proxy);
  };
  return hooks;
}

void FailoverFleet::RunCommand(
    Proxy& proxy, steady_clock::time_point now, const MemberCommand& command,
    ProxyFailoverHooks::CommandResultHook on_result) {
  MemberCommandResult result = ReadMemberCommandResult(command, std::nullopt);
  if (this->options.instead_of_command &&
      this->options.instead_of_command(this->group, command, result)) {
    on_result(now, result);
    return;
  }
  proxy.shard->RunControlStatement(
      now, command.database, command.member.id, BuildMemberStatement(command),
      now + command.timeout,
      [this, &proxy, command,
       on_result](const std::optional<MemberResult>& answer) {
        on_result(this->Local(proxy), ReadMemberCommandResult(command, answer));
      });
}

void FailoverFleet::Probe(Proxy& proxy, const MemberInfo& member,
                          PrimaryObserverHooks::ProbeResultHook on_sight) {
  const auto answer = [this, &proxy, member, on_sight](MemberSight sight) {
    this->network.Deliver(member.zone, proxy.info.zone,
                          [this, &proxy, on_sight, sight] {
                            if (!proxy.alive) return;
                            on_sight(this->Local(proxy), sight);
                            this->Arm(proxy);
                          });
  };
  this->network.Deliver(proxy.info.zone, member.zone, [this, member, answer] {
    if (this->group.Stalled(member.id)) return;
    answer(this->group.Member(member.id).alive ? MemberSight::kAnswers
                                               : MemberSight::kRefuses);
  });
}

void FailoverFleet::PublishView(Proxy& proxy) {
  auto view = std::make_shared<RoutingView>();
  view->proxies = this->proxy_infos;
  DatabaseView& database = view->databases[DatabaseId(kDatabase)];
  database.id = DatabaseId(kDatabase);
  for (const MemberInfo& member : this->members) {
    database.members.push_back(
        RoutedMember{member, AssignSlotOwners(member, this->proxy_infos)});
  }
  proxy.failover->Overlay(*view);
  proxy.shard->OnView(this->Local(proxy), view);
  proxy.failover->OnView(this->Local(proxy), *view);
}

void FailoverFleet::Send(const NodeId& from, const NodeId& to, PeerBody body) {
  const bool traffic = std::holds_alternative<ForwardRequest>(body) ||
                       std::holds_alternative<ForwardReply>(body);
  if (!traffic) {
    ++this->control_messages;
    if (std::bernoulli_distribution(this->options.loss)(this->random)) return;
  }
  std::chrono::nanoseconds delay{0};
  if (this->options.filter) {
    const auto extra = this->options.filter(body);
    if (!extra) return;
    delay = *extra;
  }
  this->queue.After(delay, [this, from, to, body = std::move(body)] {
    this->network.Deliver(
        this->ZoneOf(from), this->ZoneOf(to),
        [this, from, to, body] { this->Receive(from, to, body); });
  });
}

void FailoverFleet::Receive(const NodeId& from, const NodeId& to,
                            const PeerBody& body) {
  if (Proxy* proxy = this->FindProxy(to)) {
    if (proxy->alive) this->ReceiveAtProxy(*proxy, from, body);
    return;
  }
  for (std::size_t i = 0; i < FailoverControl::kReplicas; ++i) {
    if (FailoverControl::NodeOf(i) != to) continue;
    this->control->Receive(i, from, body);
  }
}

void FailoverFleet::ReceiveAtProxy(Proxy& proxy, const NodeId& from,
                                   const PeerBody& body) {
  const auto now = this->Local(proxy);
  if (const auto* forward = std::get_if<ForwardRequest>(&body)) {
    proxy.shard->OnForward(now, from, *forward);
  } else if (const auto* reply = std::get_if<ForwardReply>(&body)) {
    proxy.shard->OnForwardReply(now, from, *reply);
  } else {
    proxy.failover->OnMessage(now, from, body);
  }
  this->Arm(proxy);
}

void FailoverFleet::CheckAnswer(const Outcome& outcome) {
  const auto* answer = std::get_if<Answered>(&outcome);
  if (answer == nullptr || answer->served_by_replica) return;
  if (answer->position.term < this->chosen_term) ++this->replaced_answers;
}

void FailoverFleet::Write(std::size_t number,
                          std::function<void(std::uint64_t)> on_answer) {
  Proxy* proxy = this->proxies[number].get();
  const std::string key = std::to_string(this->next_key++);
  StatementRequest request;
  request.database = DatabaseId(kDatabase);
  request.kind = RequestKind::kWrite;
  request.statement = {"PUT", {SqlValue(key), SqlValue("v")}};
  request.timeout = kWriteTimeout;
  this->queue.After(
      this->options.places.to_callers, [this, proxy, key, request, on_answer] {
        if (!proxy->alive) return;
        proxy->shard->Submit(
            this->Local(*proxy), request,
            [this, key, on_answer](const Outcome& outcome) {
              this->CheckAnswer(outcome);
              const auto* answer = std::get_if<Answered>(&outcome);
              if (answer == nullptr) return;
              this->acknowledged.insert(key);
              this->queue.After(this->options.places.to_callers,
                                [on_answer, term = answer->position.term] {
                                  on_answer(term);
                                });
            });
        this->Arm(*proxy);
      });
}

void FailoverFleet::KillZone(std::size_t zone) {
  this->CutZone(zone, true);
  this->group.Stall(this->members[zone].id, steady_clock::time_point::max());
  for (std::size_t i = 0; i < this->proxies.size(); ++i) {
    if (this->ZoneOfProxy(i) == zone) this->proxies[i]->alive = false;
  }
  this->control->Kill(zone);
}

void FailoverFleet::CutZone(std::size_t zone, bool cut) {
  const auto& zones = this->options.places.zones;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    if (i != zone) this->network.SetCut(zones[zone], zones[i], cut);
  }
}

std::size_t FailoverFleet::ZoneOfPrimary() const {
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    if (this->members[i].id == this->entry.primary) return i;
  }
  return 0;
}

std::size_t FailoverFleet::LostWrites() const {
  const auto& state = this->group.Members().at(this->entry.primary).state;
  return static_cast<std::size_t>(std::count_if(
      this->acknowledged.begin(), this->acknowledged.end(),
      [&](const std::string& key) { return state.count(key) == 0; }));
}

void FailoverFleet::Arm(Proxy& proxy) {
  if (!proxy.alive) return;
  auto next = proxy.shard->NextWakeup();
  if (const auto due = proxy.failover->NextWakeup()) {
    next = next ? std::min(*next, *due) : *due;
  }
  if (!next || *next == proxy.armed_for) return;
  proxy.armed_for = *next;
  const auto due = ScaledTime(*next, 1 / proxy.clock_rate);
  this->queue.At(due + std::chrono::microseconds(1),
                 [this, &proxy, armed = *next] {
                   if (!proxy.alive || proxy.armed_for != armed) return;
                   proxy.armed_for.reset();
                   proxy.shard->OnTick(this->Local(proxy));
                   proxy.failover->OnTick(this->Local(proxy));
                   this->Arm(proxy);
                 });
}

steady_clock::time_point FailoverFleet::Local(const Proxy& proxy) const {
  return ScaledTime(this->queue.Now(), proxy.clock_rate);
}

AvailabilityZone FailoverFleet::ZoneOf(const NodeId& node) const {
  if (const Proxy* proxy = this->FindProxy(node)) return proxy->info.zone;
  const std::string& name = node.Value();
  return this->options.places.zones[std::stoul(name.substr(name.size() - 1))];
}

FailoverFleet::Proxy* FailoverFleet::FindProxy(const NodeId& id) const {
  for (const auto& proxy : this->proxies) {
    if (proxy->info.id == id) return proxy.get();
  }
  return nullptr;
}

}  // namespace lacewingferry::model
