#include "tests/support/line_gateway.h"

#include <chrono>
#include <variant>

#include "platform/client_lines.h"

namespace lacewingferry::testing {
namespace {

using std::chrono::milliseconds;

/** The way of a request to a member and of its answer back. */
constexpr milliseconds kWay{2};
constexpr milliseconds kAnswerWait{2000};

std::string Describe(const LineRun& run) {
  std::string text = run.id + ": " + run.verb;
  if (run.prepared) text += " prepared as '" + run.shape + "'";
  text += " '" + run.arguments + "'";
  if (run.in_transaction) text += " in a transaction";
  for (const auto& [name, value] : run.values) {
    text.append(" ").append(name).append("=").append(value);
  }
  return text;
}

}  // namespace

LineGateway::LineGateway() {
  this->gateway.on_send = [this](LinkId link,
                                 const std::vector<MemberRequest>& requests) {
    this->Send(link, requests);
  };
  this->gateway.Publish();
  this->gateway.Lease(milliseconds(3'600'000));
  this->gateway.Vouch();
}

void LineGateway::Send(LinkId link,
                       const std::vector<MemberRequest>& requests) {
  std::string bytes;
  for (const MemberRequest& request : requests) {
    bytes += platform::EncodeRequest(request);
  }
  this->gateway.Queue().After(kWay, [this, link, bytes] {
    Connection& connection = this->connections[link];
    if (this->reset_ends_transactions) {
      connection.member.EndTransactionsOnReset();
    }
    if (connection.member.Lost()) return;
    if (this->refusal) connection.member.SetRefusal(this->refusal);
    if (this->troubles) connection.member.SetTroubles(this->troubles);
    for (const std::string& line : connection.member.Take(bytes)) {
      const auto reply = connection.assembler.Take(line);
      if (!reply) continue;
      this->gateway.Queue().After(kWay, [this, link, answer = *reply] {
        this->gateway.Decisions().OnReply(this->gateway.Queue().Now(), link,
                                          answer);
      });
    }
    if (!connection.member.Lost()) return;
    this->gateway.Queue().After(kWay, [this, link] {
      this->gateway.Decisions().OnLinkLost(this->gateway.Queue().Now(), link);
    });
  });
}

ClientReply LineGateway::Ask(ClientId client, const std::string& text) {
  return this->AskAs(client, "c" + std::to_string(++this->last_id), text);
}

ClientReply LineGateway::AskAs(ClientId client, const std::string& id,
                               const std::string& text) {
  const auto line = platform::DecodeClientLine("QUERY " + id + " " + text);
  const auto& statement = std::get<ClientStatement>(line);
  Session& session = this->sessions[client];
  this->Expect(session, id, text);
  this->gateway.Ask(client, statement);
  const auto limit = this->gateway.Queue().Now() + kAnswerWait;
  const auto& answers = this->gateway.Answers();
  while (answers.count(statement.id) == 0 &&
         this->gateway.Queue().Now() < limit) {
    this->gateway.Run(milliseconds(1));
  }
  ClientReply reply = answers.at(statement.id).reply;
  if (!reply.error) Note(&session, text);
  session.in_transaction = reply.state == TransactionState::kOpen;
  return reply;
}

void LineGateway::Expect(const Session& session, const std::string& id,
                         std::string text) {
  LineRun run;
  run.id = id;
  run.values = session.values;
  run.in_transaction = session.in_transaction;
  run.verb = TakeField(&text);
  if (run.verb == "EXECUTE") {
    const auto found = session.prepared.find(TakeField(&text));
    if (found == session.prepared.end()) return;
    run.prepared = true;
    run.verb = found->second.first;
    run.shape = found->second.second;
  } else if (run.verb != "LOOKUP" && run.verb != "STORE") {
    return;
  }
  run.arguments = text;
  this->expected[id] = run;
}

void LineGateway::Note(Session* session, std::string text) {
  const std::string verb = TakeField(&text);
  if (verb != "SET" && verb != "PREPARE" && verb != "DEALLOC") return;
  const std::string name = TakeField(&text);
  if (verb == "DEALLOC") {
    session->prepared.erase(name);
  } else if (verb == "SET") {
    session->values[name] = text;
  } else {
    const std::string prepares = TakeField(&text);
    session->prepared[name] = {prepares, text};
  }
}

std::vector<LineRun> LineGateway::Runs() const {
  std::vector<LineRun> runs;
  for (const auto& [link, connection] : this->connections) {
    const auto& ran = connection.member.Runs();
    runs.insert(runs.end(), ran.begin(), ran.end());
  }
  return runs;
}

std::vector<std::string> LineGateway::Kept() const {
  std::vector<std::string> kept;
  for (const auto& [link, connection] : this->connections) {
    const auto& writes = connection.member.Kept();
    kept.insert(kept.end(), writes.begin(), writes.end());
  }
  return kept;
}

std::vector<std::string> LineGateway::Faults() const {
  std::vector<std::string> faults;
  for (const LineRun& run : this->Runs()) {
    const auto found = this->expected.find(run.id);
    if (found == this->expected.end()) {
      faults.push_back("nobody sent " + Describe(run));
      continue;
    }
    const LineRun& said = found->second;
    const bool same =
        run.verb == said.verb && run.prepared == said.prepared &&
        run.shape == said.shape && run.arguments == said.arguments &&
        run.values == said.values && run.in_transaction == said.in_transaction;
    if (same) continue;
    faults.push_back("sent " + Describe(said) + ", ran " + Describe(run));
  }
  return faults;
}

}  // namespace lacewingferry::testing
