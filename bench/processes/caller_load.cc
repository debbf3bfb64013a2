#include "bench/processes/caller_load.h"

#include <algorithm>
#include <stdexcept>

#include "bench/processes/poll_until.h"
#include "bench/processes/statement_client.h"
#include "bench/processes/workload_tables.h"

namespace lacewingferry::processes {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCreateTimeout{2000};

StatementRequest CreateRequest(const DatabaseId& database,
                               const std::string& sql) {
  StatementRequest request;
  request.database = database;
  request.kind = RequestKind::kWrite;
  request.statement.sql = sql;
  request.repeatable = true;
  request.timeout = kCreateTimeout;
  return request;
}

}  // namespace

void CreateTables(const ClusterPlan& plan, std::chrono::milliseconds limit) {
  StatementClient client(plan.proxies.front().listen);
  for (const DatabaseId& database : plan.databases) {
    for (const std::string& sql : CreateTablesSql()) {
      const StatementRequest request = CreateRequest(database, sql);
      const bool created = PollUntil(limit, [&] {
        const Outcome outcome = client.Send(request, "").outcome;
        return std::holds_alternative<Answered>(outcome);
      });
      if (!created) {
        throw std::runtime_error(database.Value() + " doesn't take: " + sql);
      }
    }
  }
}

CallerLoad::CallerLoad(const ClusterPlan& plan,
                       const LoadSettings& load_settings)
    : settings(load_settings) {
  for (std::uint32_t i = 0; i < this->settings.callers; ++i) {
    CallerSettings caller;
    caller.name = this->settings.name + "-" + std::to_string(i);
    caller.database = plan.databases[i % plan.databases.size()];
    caller.seed = this->settings.seed * 1000 + i;
    this->callers.push_back(std::make_unique<Caller>(plan, caller));
  }
}

CallerLoad::~CallerLoad() { this->Finish(); }

void CallerLoad::Start() {
  for (const auto& caller : this->callers) {
    this->threads.emplace_back([this, &caller] { this->RunCaller(*caller); });
  }
}

void CallerLoad::Stop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stopped = true;
  this->changed.notify_all();
}

RunRecord CallerLoad::Finish() {
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
  RunRecord all;
  for (const auto& caller : this->callers) all.Add(caller->Record());
  return all;
}

void CallerLoad::RunCaller(Caller& caller) {
  const auto end = steady_clock::now() + this->settings.length;
  for (std::uint32_t i = 0; i < this->settings.most_steps_each; ++i) {
    caller.Step();
    ++this->steps;
    if (!this->Pause(end)) return;
  }
}

/** Waits between two steps. Returns whether there is to be another. */
bool CallerLoad::Pause(steady_clock::time_point end) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const auto until = std::min(end, steady_clock::now() + this->settings.pause);
  this->changed.wait_until(lock, until, [this] { return this->stopped; });
  return !this->stopped && steady_clock::now() < end;
}

}  // namespace lacewingferry::processes
