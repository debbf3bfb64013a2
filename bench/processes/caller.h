#ifndef BENCH_PROCESSES_CALLER_H_
#define BENCH_PROCESSES_CALLER_H_

// Defines Caller, one application session that roams between proxies.

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/processes/cluster_plan.h"
#include "bench/processes/run_record.h"
#include "bench/processes/statement_client.h"

namespace lacewingferry::processes {

/** Who a caller is. */
struct CallerSettings {
  /** Tells callers and runs apart; part of all tags. */
  std::string name;
  DatabaseId database;
  std::uint64_t seed = 1;
  std::chrono::milliseconds timeout{2000};
};

/** Makes requests one after another and notes what it was told. For one
 * thread. */
class Caller {
 public:
  Caller(const ClusterPlan& plan, CallerSettings settings);

  /** Makes one request of the deployment's mix, with its resends. */
  void Step();

  /** What it noted so far. */
  RunRecord Record() const;

 private:
  void WriteOnce(const std::string& table);
  void WriteNote();
  void WriteReading();
  void RunTransaction();
  void ReadOwnWrite();
  void ReadProgress();

  StatementRequest MakeRequest(RequestKind kind, const std::string& sql);
  StatementReply Send(const StatementRequest& request, std::size_t proxy);
  void Roam();
  WriteRecord StartWrite(const std::string& table, std::uint32_t rows);
  /** Notes what a write's answer said. */
  void Note(WriteRecord write, const StatementReply& reply);
  void NoteRead(const StatementRequest& request, const StatementReply& reply);
  bool InsertRows(WriteRecord& write, const TransactionId& transaction,
                  std::size_t proxy);

  const Deployment deployment;
  CallerSettings settings;
  std::vector<PlannedNode> proxies;
  std::deque<StatementClient> clients;
  std::mt19937_64 random;
  std::size_t current = 0;
  std::string token;
  std::uint64_t tags = 0;
  /** The tag and table of the newest acknowledged write; empty for none. */
  std::string own_tag;
  std::string own_table;
  MeterRecord meter;
  RunRecord record;
};

}  // namespace lacewingferry::processes

#endif  // BENCH_PROCESSES_CALLER_H_
