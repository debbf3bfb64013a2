#include "bench/processes/run_record.h"

namespace lacewingferry::processes {
namespace {

template <typename Item>
void Append(std::vector<Item>& all, const std::vector<Item>& more) {
  all.insert(all.end(), more.begin(), more.end());
}

}  // namespace

void RunRecord::Add(const RunRecord& other) {
  Append(this->writes, other.writes);
  Append(this->meters, other.meters);
  Append(this->missed_own_write, other.missed_own_write);
  Append(this->too_old, other.too_old);
  this->requests += other.requests;
  this->reads_answered += other.reads_answered;
  this->reads_by_replicas += other.reads_by_replicas;
  this->reads_refused += other.reads_refused;
  this->lost_answers += other.lost_answers;
}

}  // namespace lacewingferry::processes
