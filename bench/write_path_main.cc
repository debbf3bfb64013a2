// Prints what writes cost and how overload is met, in virtual time.

#include <chrono>
#include <cstdio>
#include <string>

#include "bench/model/overload.h"

namespace {

using lacewingferry::model::FleetOptions;
using lacewingferry::model::KraanwaterOptions;
using lacewingferry::model::OverloadOptions;
using lacewingferry::model::OverloadResult;
using lacewingferry::model::RunOverload;
using lacewingferry::model::WanjiruOptions;
using std::chrono::milliseconds;

constexpr double kMicrosPerMilli = 1000.0;

void PrintRow(const std::string& name, const OverloadOptions& options) {
  const OverloadResult r = RunOverload(options);
  const double length = std::chrono::duration<double>(options.length).count();
  std::printf(
      "%-34s writes/s %7.1f reads/s %7.1f median %6.1f ms p99 %6.1f ms "
      "overloaded %6llu late %5llu unknown %4llu least/most %llu/%llu\n",
      name.c_str(), static_cast<double>(r.served_writes) / length,
      static_cast<double>(r.served_reads) / length,
      static_cast<double>(r.median.count()) / kMicrosPerMilli,
      static_cast<double>(r.p99.count()) / kMicrosPerMilli,
      static_cast<unsigned long long>(r.refused_early),
      static_cast<unsigned long long>(r.late),
      static_cast<unsigned long long>(r.unknown),
      static_cast<unsigned long long>(r.least_served),
      static_cast<unsigned long long>(r.most_served));
}

void PrintDeployment(const std::string& name, const FleetOptions& fleet,
                     std::size_t callers) {
  OverloadOptions one;
  one.fleet = fleet;
  one.callers = 1;
  one.timeout = milliseconds(1000);
  PrintRow(name + " 1 caller", one);
  OverloadOptions capacity = one;
  capacity.callers = std::size_t{2} * fleet.slots;
  PrintRow(name + " at capacity", capacity);
  OverloadOptions all = one;
  all.callers = callers;
  PrintRow(name + " all callers, limit 1 s", all);
  all.timeout = milliseconds(250);
  PrintRow(name + " all callers, limit 250 ms", all);
  all.first_customer_percent = 80;
  PrintRow(name + " one customer has 80%", all);
  all.first_customer_percent = 10;
  all.read_percent = 80;
  PrintRow(name + " 80% reads", all);
  OverloadOptions offered = one;
  offered.callers = callers;
  offered.timeout = milliseconds(500);
  for (const std::uint32_t percent : {50U, 100U, 200U, 400U}) {
    offered.offered_per_second = fleet.slots * percent;
    PrintRow(name + " offered " + std::to_string(percent) + "%", offered);
  }
  OverloadOptions at_commit = one;
  at_commit.ack_at_commit = true;
  PrintRow(name + " ack at commit, 1 caller", at_commit);
  at_commit.callers = callers;
  PrintRow(name + " ack at commit, all callers", at_commit);
}

}  // namespace

int main() {
  PrintDeployment("kraanwater", KraanwaterOptions(), 75);
  PrintDeployment("wanjiru", WanjiruOptions(), 65);
  return 0;
}
