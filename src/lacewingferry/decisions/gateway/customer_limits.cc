#include "lacewingferry/decisions/gateway/customer_limits.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A statement waits for a permit that is expected within its latency objective
 * divided by this number. */
constexpr int kExpectedWaitDivisor = 4;
/** A statement is refused after it waited for its latency objective divided by
 * this number. */
constexpr int kMaxWaitDivisor = 2;
/** What a refused client is told while control hasn't said when the next permit
 * becomes free. */
constexpr milliseconds kUnknownWait{250};
constexpr milliseconds kLongestWait{10000};
/** Refusals of a customer are reported in one event per interval. */
constexpr milliseconds kReportInterval{5000};
/** Customers whose counts are shown as metrics. */
constexpr std::size_t kMaxGauges = 100;

steady_clock::time_point WaitDeadline(const StatementRun& run) {
  return std::min(run.arrived + run.latency_objective / kMaxWaitDivisor,
                  run.deadline);
}

}  // namespace

void CustomerLimits::SetCustomers(steady_clock::time_point now,
                                  const std::vector<Customer>& customers) {
  this->permits.SetCustomers(customers);
  std::vector<RunPtr> unlimited;
  for (auto item = this->waiting.begin(); item != this->waiting.end();) {
    if (this->permits.IsLimited(item->first)) {
      ++item;
      continue;
    }
    unlimited.insert(unlimited.end(), item->second.begin(), item->second.end());
    item = this->waiting.erase(item);
  }
  for (auto item = this->counts.begin(); item != this->counts.end();) {
    const bool known = this->permits.IsLimited(item->first);
    item = known ? std::next(item) : this->counts.erase(item);
  }
  for (const RunPtr& run : unlimited) this->hooks.admitted(now, run);
}

void CustomerLimits::Submit(steady_clock::time_point now, const RunPtr& run) {
  if (!this->permits.IsLimited(run->customer)) {
    this->hooks.admitted(now, run);
    return;
  }
  this->permits.OnArrival(now, run->customer);
  const bool others_wait = this->waiting.count(run->customer) > 0;
  if (!others_wait && this->TryAdmit(now, run)) return;
  if (this->LacksControl(now, run->customer) || this->IsHopeless(now, run)) {
    this->Refuse(now, run);
    return;
  }
  std::vector<RunPtr>& queue = this->waiting[run->customer];
  queue.insert(std::upper_bound(queue.begin(), queue.end(), run, ServedBefore),
               run);
  this->SetWaiting(run->customer);
  this->RequestIfDue(now);
}

bool CustomerLimits::LacksControl(steady_clock::time_point now,
                                  const CustomerId& customer) const {
  return this->permits.IsLimited(customer) &&
         this->permits.ControlIsSilent(now) &&
         this->permits.Held(now, customer) == 0;
}

bool CustomerLimits::TryAdmit(steady_clock::time_point now, const RunPtr& run) {
  run->permit_account = this->permits.TryTake(now, run->customer);
  if (!run->permit_account) return false;
  ++this->counts[run->customer].admitted;
  this->hooks.admitted(now, run);
  return true;
}

void CustomerLimits::GiveBack(const StatementRun& run) {
  if (!run.permit_account) return;
  this->permits.GiveBack(run.customer, *run.permit_account);
}

/** Whether control said that the next permits come too late for a statement
 * behind those that wait. */
bool CustomerLimits::IsHopeless(steady_clock::time_point now,
                                const RunPtr& run) const {
  const auto scarcity = this->permits.ScarcityOf(now, run->customer);
  if (!scarcity) return false;
  const auto queue = this->waiting.find(run->customer);
  const std::size_t ahead =
      queue == this->waiting.end() ? 0 : queue->second.size();
  const auto expected = scarcity->next_permit + scarcity->interval * ahead;
  return expected >
         run->arrived + run->latency_objective / kExpectedWaitDivisor;
}

milliseconds CustomerLimits::RetryAfter(steady_clock::time_point now,
                                        const RunPtr& run) const {
  const auto found = this->counts.find(run->customer);
  const std::int64_t earlier =
      found == this->counts.end() ? 0 : found->second.refused_in_a_row;
  const auto scarcity = this->permits.ScarcityOf(now, run->customer);
  const milliseconds interval = scarcity ? scarcity->interval : kUnknownWait;
  const auto first = scarcity ? scarcity->next_permit - now : kUnknownWait;
  const auto wait = std::chrono::ceil<milliseconds>(first) + interval * earlier;
  return std::min<milliseconds>(wait, kLongestWait);
}

void CustomerLimits::Refuse(steady_clock::time_point now, const RunPtr& run) {
  LimitRefusal refusal;
  refusal.retry_after = this->RetryAfter(now, run);
  refusal.control_silent = this->LacksControl(now, run->customer);
  Counts& customer = this->counts[run->customer];
  ++customer.refused;
  ++customer.refused_in_a_row;
  ++customer.refused_unreported;
  this->Report(now, run->customer, &customer);
  this->hooks.refused(now, run, refusal);
}

void CustomerLimits::Report(steady_clock::time_point now,
                            const CustomerId& customer,
                            Counts* customer_counts) {
  const bool reported = customer_counts->reported_at &&
                        now - *customer_counts->reported_at < kReportInterval;
  if (reported) return;
  customer_counts->reported_at = now;
  this->hooks.events.record(
      Event{EventCode::kCustomerLimited,
            EventLevel::kInfo,
            {{"customer", customer.Value()},
             {"refused", std::to_string(customer_counts->refused_unreported)},
             {"admitted", std::to_string(customer_counts->admitted)},
             {"permits", std::to_string(this->permits.Held(now, customer))}}});
  customer_counts->refused_unreported = 0;
}

void CustomerLimits::SetWaiting(const CustomerId& customer) {
  const auto found = this->waiting.find(customer);
  this->permits.SetWaiting(
      customer, found == this->waiting.end() ? 0 : found->second.size());
}

void CustomerLimits::CancelClient(ClientId client) {
  for (auto& [customer, queue] : this->waiting) {
    const auto found = std::find_if(
        queue.begin(), queue.end(),
        [client](const RunPtr& run) { return run->client == client; });
    if (found == queue.end()) continue;
    queue.erase(found);
    const CustomerId name = customer;
    if (queue.empty()) this->waiting.erase(name);
    this->SetWaiting(name);
    return;
  }
}

void CustomerLimits::OnGrant(steady_clock::time_point now,
                             const PermitGrant& grant) {
  this->permits.OnGrant(now, grant);
  for (const PermitAccount& account : grant.accounts) {
    const auto found = this->counts.find(account.customer);
    if (found != this->counts.end()) found->second.refused_in_a_row = 0;
  }
  this->AdmitWaiting(now);
  this->RequestIfDue(now);
}

void CustomerLimits::AdmitWaiting(steady_clock::time_point now) {
  std::vector<CustomerId> names;
  names.reserve(this->waiting.size());
  for (const auto& item : this->waiting) names.push_back(item.first);
  for (const CustomerId& customer : names) {
    for (;;) {
      const auto found = this->waiting.find(customer);
      if (found == this->waiting.end()) break;
      if (this->permits.Held(now, customer) == 0) break;
      const RunPtr run = found->second.front();
      found->second.erase(found->second.begin());
      if (found->second.empty()) this->waiting.erase(found);
      this->TryAdmit(now, run);
    }
    this->SetWaiting(customer);
  }
}

void CustomerLimits::RequestIfDue(steady_clock::time_point now) {
  const auto request = this->permits.MakeRequest(now);
  if (request) this->hooks.request(*request);
}

void CustomerLimits::OnTick(steady_clock::time_point now) {
  std::vector<RunPtr> expired;
  for (auto item = this->waiting.begin(); item != this->waiting.end();) {
    std::vector<RunPtr>& queue = item->second;
    const auto late = std::stable_partition(
        queue.begin(), queue.end(),
        [now](const RunPtr& run) { return now < WaitDeadline(*run); });
    expired.insert(expired.end(), late, queue.end());
    queue.erase(late, queue.end());
    const CustomerId customer = item->first;
    item = queue.empty() ? this->waiting.erase(item) : std::next(item);
    this->SetWaiting(customer);
  }
  for (const RunPtr& run : expired) this->Refuse(now, run);
  this->RequestIfDue(now);
}

steady_clock::time_point CustomerLimits::NextWakeup(
    steady_clock::time_point now) const {
  steady_clock::time_point next = this->permits.NextRequest(now);
  for (const auto& item : this->waiting) {
    for (const RunPtr& run : item.second) {
      next = std::min(next, WaitDeadline(*run));
    }
  }
  return next;
}

void CustomerLimits::AddGauges(std::vector<Gauge>* gauges) const {
  std::vector<std::pair<std::uint64_t, CustomerId>> busiest;
  for (const auto& [customer, count] : this->counts) {
    busiest.emplace_back(count.admitted + count.refused, customer);
  }
  std::sort(busiest.rbegin(), busiest.rend());
  if (busiest.size() > kMaxGauges) busiest.resize(kMaxGauges);
  for (const auto& entry : busiest) {
    const Counts& count = this->counts.at(entry.second);
    const std::string& name = entry.second.Value();
    gauges->push_back({"ferry_customer_operations", "",
                       static_cast<double>(count.admitted), name});
    gauges->push_back({"ferry_customer_refusals", "",
                       static_cast<double>(count.refused), name});
  }
}

}  // namespace lacewingferry
