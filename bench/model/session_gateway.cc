#include "bench/model/session_gateway.h"

#include <utility>

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** The model's clock ticks for the gateway this often. */
constexpr milliseconds kTick{5};
constexpr milliseconds kStatementTimeout{1000};
constexpr milliseconds kObjective{400};
constexpr milliseconds kAnswerWait{2000};

const DatabaseId kDatabase{"db"};

Route MakeRoute(const std::string& host, ReadConsistency consistency,
                milliseconds max_staleness, std::uint32_t priority) {
  Route route;
  route.name = host;
  route.host = host;
  route.prefix = "/";
  route.consistency = consistency;
  route.statement_timeout = kStatementTimeout;
  route.latency_objective = kObjective;
  route.priority = priority;
  route.database = kDatabase;
  route.max_staleness = max_staleness;
  return route;
}

MemberInfo MakeMember(int number) {
  MemberInfo member;
  member.id = MemberId("m" + std::to_string(number));
  member.database = kDatabase;
  member.zone = AvailabilityZone("z" + std::to_string(number));
  member.endpoint = {"10.0.0." + std::to_string(number + 1), 5000};
  return member;
}

std::string WordAt(const std::string& text, int number) {
  std::size_t begin = 0;
  for (int i = 0; i < number; ++i) {
    begin = text.find(' ', begin);
    if (begin == std::string::npos) return "";
    ++begin;
  }
  return text.substr(begin, text.find(' ', begin) - begin);
}

std::string RestAfter(const std::string& text, int words) {
  std::size_t begin = 0;
  for (int i = 0; i < words; ++i) {
    begin = text.find(' ', begin);
    if (begin == std::string::npos) return "";
    ++begin;
  }
  return text.substr(begin);
}

}  // namespace

ClientStatement MakeStatement(const RequestId& id, const std::string& text) {
  ClientStatement statement;
  statement.id = id;
  statement.text = text;
  const std::string word = WordAt(text, 0);
  if (text == "BEGIN") statement.kind = StatementKind::kBegin;
  if (text == "BEGIN LOOKUP") statement.kind = StatementKind::kBeginReadOnly;
  if (word == "COMMIT") statement.kind = StatementKind::kCommit;
  if (word == "ROLLBACK") statement.kind = StatementKind::kRollback;
  if (word == "LOOKUP") statement.kind = StatementKind::kRead;
  if (word == "STORE") statement.kind = StatementKind::kWrite;
  if (word == "SET" || word == "EXECUTE") {
    statement.kind =
        word == "SET" ? StatementKind::kSetValue : StatementKind::kExecute;
    statement.name = WordAt(text, 1);
    statement.argument = RestAfter(text, 2);
  }
  if (word == "PREPARE") {
    statement.kind = StatementKind::kPrepare;
    statement.name = WordAt(text, 1);
    statement.prepares_write = WordAt(text, 2) == "STORE";
    statement.argument = RestAfter(text, 3);
  }
  return statement;
}

SessionGateway::SessionGateway()
    : members(this->queue,
              {[this](LinkId link, const std::optional<LogPosition>& position) {
                 this->gateway->OnLinkOpened(this->queue.Now(), link, position);
               },
               [this](LinkId link) {
                 this->gateway->OnLinkLost(this->queue.Now(), link);
               },
               [this](LinkId link, const MemberReply& reply) {
                 this->gateway->OnReply(this->queue.Now(), link, reply);
               }}) {
  GatewaySettings settings;
  settings.zone = AvailabilityZone("z0");
  GroupView& group = this->view.groups[kDatabase];
  group.database = kDatabase;
  group.allocation.connections = 4;
  group.term.database = kDatabase;
  group.term.term = 1;
  group.term.primary = MemberId("m0");
  for (int i = 0; i < 3; ++i) {
    const MemberInfo member = MakeMember(i);
    SessionMemberTraits traits;
    traits.id = member.id;
    traits.zone = member.zone;
    traits.primary = i == 0;
    this->members.Add(traits);
    group.members.push_back(member);
    settings.regions[member.zone] = "r" + std::to_string(i);
  }
  ServiceConfiguration& configuration = this->view.configuration;
  configuration.version = 1;
  configuration.transaction_idle = milliseconds(3000);
  configuration.services = {{kDatabase, 60, 1}};
  configuration.routes = {
      MakeRoute("primary", ReadConsistency::kPrimary, milliseconds(0), 1),
      MakeRoute("bounded", ReadConsistency::kBounded, milliseconds(1500), 2),
      MakeRoute("session", ReadConsistency::kSession, milliseconds(2500), 2)};
  this->gateway = std::make_unique<Gateway>(this->Hooks(), settings);
  this->Tick();
}

GatewayHooks SessionGateway::Hooks() {
  GatewayHooks hooks;
  hooks.reply = [this](ClientId client, const ClientReply& reply) {
    std::vector<RequestId>& waiting = this->asked[client];
    this->answers[waiting.front()] = SessionAnswer{reply, this->queue.Now()};
    waiting.erase(waiting.begin());
  };
  hooks.close_client = [this](ClientId client) { this->closed[client] = true; };
  hooks.open_link = [this](LinkId link, const LinkTarget& target) {
    this->members.Open(link, target);
  };
  hooks.send = [this](LinkId link, const std::vector<MemberRequest>& requests) {
    if (this->on_send) {
      this->on_send(link, requests);
    } else {
      this->members.Send(link, requests);
    }
  };
  hooks.close_link = [this](LinkId link) { this->members.Close(link); };
  hooks.recalled = [this](const DatabaseId&, std::uint64_t before_term,
                          const LogPosition& acknowledged) {
    this->recalls.push_back({before_term, acknowledged, this->queue.Now()});
  };
  hooks.ended = [](const StatementRun&, const ClientReply&,
                   std::chrono::nanoseconds) {};
  hooks.request_permits = [this](const PermitRequest& request) {
    if (this->on_permit_request) this->on_permit_request(request);
  };
  hooks.events = EventPort{[](const Event&) {}};
  return hooks;
}

void SessionGateway::Tick() {
  this->gateway->OnTick(this->queue.Now());
  this->queue.After(kTick, [this] { this->Tick(); });
}

void SessionGateway::Publish() {
  IndexCustomers(&this->view);
  this->gateway->SetView(this->queue.Now(),
                         std::make_shared<GatewayView>(this->view));
}

void SessionGateway::Lease(milliseconds length) {
  this->gateway->SetLease(kDatabase, this->view.groups.at(kDatabase).term.term,
                          this->queue.Now() + length);
}

void SessionGateway::BeginTerm() {
  DatabaseTerm& term = this->view.groups.at(kDatabase).term;
  term.former_primary = term.primary;
  term.primary = MemberId();
  term.phase = TermPhase::kElecting;
  ++term.term;
  this->Publish();
}

void SessionGateway::Promote(const MemberId& id) {
  DatabaseTerm& term = this->view.groups.at(kDatabase).term;
  term.start = this->members.PositionOf(id);
  this->members.Promote(id);
  term.primary = id;
  term.phase = TermPhase::kSteady;
  this->Publish();
}

void SessionGateway::Vouch() {
  const MemberId& primary = this->view.groups.at(kDatabase).term.primary;
  this->gateway->OnPosition(kDatabase, this->queue.Now(),
                            this->members.PositionOf(primary));
}

ClientId SessionGateway::Open(const std::string& host, SessionOrigin origin,
                              const std::string& key) {
  const ClientId client = ++this->last_client;
  this->gateway->Open(this->queue.Now(), {client, host, origin, key},
                      [this, client](const Admission& admission) {
                        this->admissions[client] = admission;
                        const bool served =
                            admission.result == AdmissionResult::kAccepted ||
                            admission.result == AdmissionResult::kRelayed;
                        if (!served) this->closed[client] = true;
                      });
  return client;
}

RequestId SessionGateway::Ask(ClientId client, const std::string& text) {
  RequestId id("q" + std::to_string(++this->last_request));
  this->Ask(client, MakeStatement(id, text));
  return id;
}

void SessionGateway::Ask(ClientId client, const ClientStatement& statement) {
  this->asked[client].push_back(statement.id);
  this->gateway->OnStatement(this->queue.Now(), client, statement);
}

void SessionGateway::Run(milliseconds length) {
  this->queue.RunUntil(this->queue.Now() + length);
}

ClientReply SessionGateway::AskAndWait(ClientId client,
                                       const std::string& text) {
  const RequestId id = this->Ask(client, text);
  const steady_clock::time_point limit = this->queue.Now() + kAnswerWait;
  while (this->answers.count(id) == 0 && this->queue.Now() < limit) {
    this->Run(milliseconds(1));
  }
  return this->answers.at(id).reply;
}

}  // namespace lacewingferry::model
