#include "bench/processes/caller.h"

#include <functional>
#include <thread>
#include <utility>

#include "bench/processes/workload_tables.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** One request in this many moves to another proxy. */
constexpr int kRoamOneIn = 4;
constexpr int kMostSends = 8;
constexpr milliseconds kResendPause{200};
constexpr std::uint32_t kTransactionRows = 3;
/** One transaction in this many is rolled back by its caller. */
constexpr int kRollBackOneIn = 5;

WriteFate FateOf(const Outcome& outcome) {
  if (std::holds_alternative<Answered>(outcome)) {
    return WriteFate::kAcknowledged;
  }
  if (std::holds_alternative<NotRun>(outcome)) return WriteFate::kNotRun;
  if (std::holds_alternative<StatementFailed>(outcome)) {
    return WriteFate::kFailed;
  }
  return WriteFate::kUnknown;
}

std::string DetailOf(const Outcome& outcome) {
  if (const auto* refusal = std::get_if<NotRun>(&outcome)) {
    return std::string(RefusalName(refusal->code)) + ": " + refusal->detail;
  }
  if (const auto* failure = std::get_if<StatementFailed>(&outcome)) {
    return failure->sqlstate + ": " + failure->message;
  }
  if (const auto* unknown = std::get_if<UnknownOutcome>(&outcome)) {
    return unknown->detail;
  }
  return "";
}

}  // namespace

Caller::Caller(const ClusterPlan& plan, CallerSettings caller_settings)
    : deployment(plan.deployment),
      settings(std::move(caller_settings)),
      proxies(plan.proxies),
      random(this->settings.seed) {
  for (const PlannedNode& proxy : this->proxies) {
    this->clients.emplace_back(proxy.listen);
  }
  this->current = this->random() % this->clients.size();
  this->meter.database = this->settings.database;
  this->meter.meter = this->settings.name;
}

RunRecord Caller::Record() const {
  RunRecord all = this->record;
  all.meters.push_back(this->meter);
  return all;
}

void Caller::Step() {
  const RequestMix& mix = this->deployment.mix;
  if (this->random() % kRoamOneIn == 0) this->Roam();
  const std::vector<std::pair<int, std::function<void()>>> choices = {
      {mix.bookings, [this] { this->WriteOnce(kBookingsTable); }},
      {mix.draws, [this] { this->WriteOnce(kDrawsTable); }},
      {mix.readings, [this] { this->WriteReading(); }},
      {mix.notes, [this] { this->WriteNote(); }},
      {mix.transactions, [this] { this->RunTransaction(); }},
      {mix.session_reads, [this] { this->ReadOwnWrite(); }},
      {mix.progress_pages, [this] { this->ReadProgress(); }}};
  int total = 0;
  for (const auto& choice : choices) total += choice.first;
  int drawn = static_cast<int>(this->random() % total);
  for (const auto& [weight, act] : choices) {
    if (drawn < weight) {
      act();
      return;
    }
    drawn -= weight;
  }
}

// A resend with the same identifier finds the first run's answer.
void Caller::WriteOnce(const std::string& table) {
  StatementRequest request =
      this->MakeRequest(RequestKind::kWrite, InsertSql(table));
  WriteRecord write = this->StartWrite(table, 1);
  request.request_id = RequestId(write.tag);
  request.statement.parameters = {write.tag, this->settings.name};
  bool may_have_run = false;
  StatementReply reply;
  for (int sends = 0; sends < kMostSends; ++sends) {
    reply = this->Send(request, this->current);
    const WriteFate fate = FateOf(reply.outcome);
    if (reply.delivery == Delivery::kNotSent) {
      this->Roam();
    } else if (fate == WriteFate::kUnknown) {
      may_have_run = true;
      this->Roam();
    } else if (fate != WriteFate::kNotRun || !may_have_run) {
      break;
    }
    std::this_thread::sleep_for(kResendPause);
  }
  const bool open =
      may_have_run && FateOf(reply.outcome) != WriteFate::kAcknowledged;
  if (open) {
    reply.delivery = Delivery::kLost;
    reply.outcome =
        UnknownOutcome{"after a resend: " + DetailOf(reply.outcome)};
  }
  this->Note(std::move(write), reply);
}

void Caller::WriteNote() {
  StatementRequest request =
      this->MakeRequest(RequestKind::kWrite, InsertSql(kNotesTable));
  WriteRecord write = this->StartWrite(kNotesTable, 1);
  request.statement.parameters = {write.tag, this->settings.name};
  this->Note(std::move(write), this->Send(request, this->current));
}

void Caller::WriteReading() {
  StatementRequest request =
      this->MakeRequest(RequestKind::kWrite, kReadingSql);
  request.repeatable = true;
  this->meter.last_sent += 1;
  request.statement.parameters = {this->meter.meter,
                                  std::to_string(this->meter.last_sent)};
  const StatementReply reply = this->Send(request, this->current);
  if (FateOf(reply.outcome) == WriteFate::kAcknowledged) {
    this->meter.last_acknowledged = this->meter.last_sent;
  }
}

void Caller::RunTransaction() {
  WriteRecord write = this->StartWrite(kJobsTable, kTransactionRows);
  const std::size_t proxy = this->current;
  StatementReply reply =
      this->Send(this->MakeRequest(RequestKind::kBegin, ""), proxy);
  const auto* begun = std::get_if<Answered>(&reply.outcome);
  if (begun == nullptr) return;
  const TransactionId transaction = begun->transaction;
  if (!this->InsertRows(write, transaction, proxy)) return;
  const bool roll_back = this->random() % kRollBackOneIn == 0;
  StatementRequest end = this->MakeRequest(
      roll_back ? RequestKind::kRollback : RequestKind::kCommit, "");
  end.transaction = transaction;
  reply = this->Send(end, proxy);
  if (roll_back) {
    write.fate = WriteFate::kRolledBack;
    this->record.writes.push_back(write);
    return;
  }
  this->Note(std::move(write), reply);
}

/** Writes a transaction's rows. After a failure nothing of it may stay. */
bool Caller::InsertRows(WriteRecord& write, const TransactionId& transaction,
                        std::size_t proxy) {
  for (std::uint32_t row = 0; row < write.rows; ++row) {
    StatementRequest request =
        this->MakeRequest(RequestKind::kWrite, InsertSql(kJobsTable));
    request.transaction = transaction;
    request.statement.parameters = {write.tag, this->settings.name};
    const StatementReply reply = this->Send(request, proxy);
    if (FateOf(reply.outcome) == WriteFate::kAcknowledged) continue;
    // Without a commit nothing of the transaction may run.
    write.fate = WriteFate::kRolledBack;
    write.detail = DetailOf(reply.outcome);
    this->record.writes.push_back(write);
    StatementRequest end = this->MakeRequest(RequestKind::kRollback, "");
    end.transaction = transaction;
    this->Send(end, proxy);
    return false;
  }
  return true;
}

void Caller::ReadOwnWrite() {
  if (this->own_tag.empty()) {
    this->ReadProgress();
    return;
  }
  StatementRequest request =
      this->MakeRequest(RequestKind::kRead, CountSql(this->own_table));
  request.statement.parameters = {this->own_tag};
  const StatementReply reply = this->Send(request, this->current);
  this->NoteRead(request, reply);
  const auto* answer = std::get_if<Answered>(&reply.outcome);
  if (answer == nullptr) return;
  const auto& rows = answer->result.rows;
  const bool seen = rows.size() == 1 && rows[0].size() == 1 &&
                    rows[0][0].value_or("0") != "0";
  if (seen) return;
  this->record.missed_own_write.push_back(
      BrokenRead{this->settings.database,
                 this->own_tag + " of " + this->own_table, answer->served_by});
}

void Caller::ReadProgress() {
  StatementRequest request = this->MakeRequest(RequestKind::kRead, kPageSql);
  request.max_age = this->deployment.page_age;
  this->NoteRead(request, this->Send(request, this->current));
}

StatementRequest Caller::MakeRequest(RequestKind kind, const std::string& sql) {
  StatementRequest request;
  request.database = this->settings.database;
  request.kind = kind;
  request.statement.sql = sql;
  request.session = SessionId(this->settings.name);
  request.customer = CustomerId(this->settings.name);
  request.timeout = this->settings.timeout;
  return request;
}

StatementReply Caller::Send(const StatementRequest& request,
                            std::size_t proxy) {
  ++this->record.requests;
  StatementReply reply = this->clients[proxy].Send(request, this->token);
  if (!reply.token.empty()) this->token = reply.token;
  if (reply.delivery == Delivery::kLost) ++this->record.lost_answers;
  if (reply.delivery != Delivery::kAnswered) this->Roam();
  return reply;
}

void Caller::Roam() {
  this->current = (this->current + 1) % this->clients.size();
}

WriteRecord Caller::StartWrite(const std::string& table, std::uint32_t rows) {
  WriteRecord write;
  write.database = this->settings.database;
  write.table = table;
  write.tag = this->settings.name + "-" + std::to_string(++this->tags);
  write.rows = rows;
  write.sent = steady_clock::now();
  return write;
}

void Caller::Note(WriteRecord write, const StatementReply& reply) {
  write.fate = reply.delivery == Delivery::kNotSent ? WriteFate::kNotRun
                                                    : FateOf(reply.outcome);
  write.detail = DetailOf(reply.outcome);
  write.answered = steady_clock::now();
  if (const auto* answer = std::get_if<Answered>(&reply.outcome)) {
    write.served_by = answer->served_by;
    this->own_tag = write.tag;
    this->own_table = write.table;
  }
  this->record.writes.push_back(std::move(write));
}

void Caller::NoteRead(const StatementRequest& request,
                      const StatementReply& reply) {
  const auto* answer = std::get_if<Answered>(&reply.outcome);
  if (answer == nullptr) {
    ++this->record.reads_refused;
    return;
  }
  ++this->record.reads_answered;
  if (answer->served_by_replica) ++this->record.reads_by_replicas;
  if (!request.max_age || !answer->age_bound) return;
  if (*answer->age_bound <= *request.max_age) return;
  this->record.too_old.push_back(BrokenRead{
      request.database,
      "age " + std::to_string(answer->age_bound->count()) + " ms where " +
          std::to_string(request.max_age->count()) + " ms were asked",
      answer->served_by});
}

}  // namespace lacewingferry::processes
