#include "lacewingferry/decisions/rate_limit/permit_grantor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Account numbers hold the control leader's term above this bit, so that a
 * later leader's are higher. */
constexpr unsigned kTermShift = 32;
/** A request is granted at most the free permits divided by this, so that
 * something is left for the proxies that ask next. */
constexpr double kGrantDivisor = 2;
/** Permits are granted ahead of demand while those that are out stay below this
 * part of the capacity. */
constexpr double kAheadShare = 0.75;
constexpr milliseconds kShortestWait{20};
constexpr milliseconds kLongestWait{5000};
/** Accounts are looked through this often. */
constexpr milliseconds kCheckInterval{100};
/** A limited customer is reported again after this long. */
constexpr milliseconds kLimitedReportInterval{10000};

}  // namespace

PermitGrantor::PermitGrantor(PermitGrantorSettings grantor_settings,
                             PermitGrantorHooks grantor_hooks)
    : settings(grantor_settings), hooks(std::move(grantor_hooks)) {}

void PermitGrantor::OnLeadership(steady_clock::time_point now, bool leads,
                                 std::uint64_t term) {
  this->leader = leads;
  this->leading_term = term;
  this->last_account = 0;
  for (auto& item : this->buckets) {
    Bucket& bucket = item.second;
    bucket.accounts.clear();
    bucket.orphans.clear();
    bucket.out = 0;
    this->StartEmpty(now, &bucket);
  }
}

/** Empties a bucket whose permits that are out aren't known: the customer may
 * have been limited by another leader, or by this one a moment ago. */
void PermitGrantor::StartEmpty(steady_clock::time_point now,
                               Bucket* bucket) const {
  bucket->free = 0;
  bucket->refilled_at = now;
  bucket->overlap_until = now + this->settings.duration;
}

void PermitGrantor::SetCustomers(steady_clock::time_point now,
                                 const std::vector<Customer>& customers) {
  std::map<CustomerId, Bucket> known;
  known.swap(this->buckets);
  for (const Customer& customer : customers) {
    if (!customer.limit) continue;
    const auto found = known.find(customer.id);
    Bucket& bucket = this->buckets[customer.id];
    if (found != known.end()) {
      bucket = std::move(found->second);
      Refill(now, &bucket);
    } else {
      this->StartEmpty(now, &bucket);
    }
    bucket.limit = *customer.limit;
    bucket.size = this->settings.tolerance.SizeFor(bucket.limit);
  }
}

double PermitGrantor::Capacity(steady_clock::time_point now,
                               const Bucket& bucket) {
  return now < bucket.overlap_until ? bucket.size.overlap_capacity
                                    : bucket.size.capacity;
}

void PermitGrantor::Refill(steady_clock::time_point now, Bucket* bucket) {
  const std::chrono::duration<double> passed = now - bucket->refilled_at;
  bucket->refilled_at = now;
  const double room = Capacity(now, *bucket) - static_cast<double>(bucket->out);
  const double refilled = bucket->free + bucket->size.refill * passed.count();
  bucket->free = std::max(0.0, std::min(refilled, room));
}

/** The proxy's account. Opens one if the request means another than the one
 * that is known, or comes from another run of the proxy; what an earlier
 * account holds stays out until it expires. */
PermitGrantor::Account& PermitGrantor::AccountFor(steady_clock::time_point now,
                                                  const NodeId& from,
                                                  std::uint64_t incarnation,
                                                  const PermitUse& use,
                                                  Bucket* bucket) {
  Account& account = bucket->accounts[from];
  // A proxy that has no number yet didn't get the answer to its first request.
  const bool same = account.number != 0 && account.incarnation == incarnation &&
                    account.opening == use.opening &&
                    (use.account == 0 || use.account == account.number);
  if (same) return account;
  if (account.number != 0 && account.expires_at > now) {
    bucket->orphans.push_back({account.Held(), account.expires_at});
  } else {
    bucket->out -= account.Held();
  }
  account = Account{};
  account.number = (this->leading_term << kTermShift) + ++this->last_account;
  account.incarnation = incarnation;
  account.opening = use.opening;
  return account;
}

/** Takes in what the proxy says of the account's permits. */
void PermitGrantor::Settle(const PermitUse& use, Account* account,
                           Bucket* bucket) {
  const std::uint64_t held = account->Held();
  if (use.account == account->number) {
    account->used = std::min(std::max(account->used, use.used),
                             account->granted - account->returned);
    const std::uint64_t returned =
        std::min(std::max(account->returned, use.returned),
                 account->granted - account->used);
    bucket->free += static_cast<double>(returned - account->returned);
    account->returned = returned;
  }
  bucket->out -= held - account->Held();
}

/** How many permits an account that holds some gets more. */
std::uint64_t PermitGrantor::PermitsFor(steady_clock::time_point now,
                                        const Bucket& bucket,
                                        std::uint64_t held,
                                        const PermitUse& use) {
  if (bucket.free < 1) return 0;
  const auto share =
      static_cast<std::uint64_t>(std::max(1.0, bucket.free / kGrantDivisor));
  const auto missing = [held](std::uint64_t count) {
    return count > held ? count - held : 0;
  };
  const std::uint64_t urgent = std::min(missing(use.waiting), share);
  const double ahead = Capacity(now, bucket) * kAheadShare -
                       static_cast<double>(bucket.out + urgent);
  const std::uint64_t more = std::min(missing(use.wanted), share) - urgent;
  if (ahead < 1) return urgent;
  return urgent + std::min(more, static_cast<std::uint64_t>(ahead));
}

/** About how long it takes until each proxy whose operations wait got one more
 * permit. */
milliseconds PermitGrantor::NextPermit(const Bucket& bucket) {
  const auto contenders =
      std::count_if(bucket.accounts.begin(), bucket.accounts.end(),
                    [](const auto& item) { return item.second.starves; });
  if (bucket.size.refill <= 0) return kLongestWait;
  const std::chrono::duration<double> wait(static_cast<double>(contenders) /
                                           bucket.size.refill);
  if (wait >= kLongestWait) return kLongestWait;
  return std::max(kShortestWait,
                  std::chrono::duration_cast<milliseconds>(wait));
}

PermitAccount PermitGrantor::Serve(steady_clock::time_point now,
                                   const NodeId& from,
                                   std::uint64_t incarnation,
                                   const PermitUse& use, Bucket* bucket) {
  DropOrphans(now, bucket);
  Account& account = this->AccountFor(now, from, incarnation, use, bucket);
  Settle(use, &account, bucket);
  Refill(now, bucket);
  account.expires_at = now + this->settings.duration;
  const std::uint64_t granted = PermitsFor(now, *bucket, account.Held(), use);
  account.granted += granted;
  bucket->out += granted;
  bucket->free -= static_cast<double>(granted);
  account.starves = use.waiting > account.Held();
  PermitAccount answer;
  answer.customer = use.customer;
  answer.account = account.number;
  answer.granted = account.granted;
  if (account.starves) {
    answer.next_permit = NextPermit(*bucket);
    this->ReportLimited(now, use.customer, bucket);
  }
  const double capacity = Capacity(now, *bucket);
  const auto out = static_cast<double>(bucket->out);
  if (out > capacity) {
    answer.keep = static_cast<std::uint64_t>(
        std::floor(static_cast<double>(account.Held()) * capacity / out));
  }
  return answer;
}

void PermitGrantor::ReportLimited(steady_clock::time_point now,
                                  const CustomerId& customer, Bucket* bucket) {
  const bool reported =
      bucket->reported_limited_at &&
      now - *bucket->reported_limited_at < kLimitedReportInterval;
  if (reported) return;
  bucket->reported_limited_at = now;
  this->hooks.limited(customer, bucket->limit, bucket->out);
}

std::optional<PermitGrant> PermitGrantor::OnRequest(
    steady_clock::time_point now, const NodeId& from,
    const PermitRequest& request) {
  if (!this->leader) return std::nullopt;
  PermitGrant grant;
  grant.sequence = request.sequence;
  grant.incarnation = request.incarnation;
  grant.duration = this->settings.duration;
  for (const PermitUse& use : request.uses) {
    const auto found = this->buckets.find(use.customer);
    if (found == this->buckets.end()) continue;
    grant.accounts.push_back(
        this->Serve(now, from, request.incarnation, use, &found->second));
  }
  return grant;
}

void PermitGrantor::DropOrphans(steady_clock::time_point now, Bucket* bucket) {
  std::vector<Orphans>& orphans = bucket->orphans;
  for (const Orphans& held : orphans) {
    if (held.expire_at <= now) bucket->out -= held.permits;
  }
  orphans.erase(std::remove_if(orphans.begin(), orphans.end(),
                               [now](const Orphans& held) {
                                 return held.expire_at <= now;
                               }),
                orphans.end());
}

void PermitGrantor::OnTick(steady_clock::time_point now) {
  if (now < this->next_check) return;
  this->next_check = now + kCheckInterval;
  std::map<NodeId, std::uint64_t> lost;
  for (auto& item : this->buckets) {
    Bucket& bucket = item.second;
    DropOrphans(now, &bucket);
    for (auto it = bucket.accounts.begin(); it != bucket.accounts.end();) {
      if (it->second.expires_at > now) {
        ++it;
        continue;
      }
      const std::uint64_t held = it->second.Held();
      bucket.out -= held;
      if (held > 0) lost[it->first] += held;
      it = bucket.accounts.erase(it);
    }
  }
  for (const auto& [proxy, permits] : lost) this->hooks.lost(proxy, permits);
}

void PermitGrantor::AddGauges(steady_clock::time_point now,
                              std::vector<Gauge>* gauges) const {
  if (!this->leader) return;
  for (const auto& [customer, bucket] : this->buckets) {
    Bucket present = bucket;
    Refill(now, &present);
    gauges->push_back({"ferry_customer_permits_out", "",
                       static_cast<double>(present.out), customer.Value()});
    gauges->push_back({"ferry_customer_permits_free", "",
                       std::floor(present.free), customer.Value()});
  }
}

}  // namespace lacewingferry
