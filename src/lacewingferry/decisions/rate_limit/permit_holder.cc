#include "lacewingferry/decisions/rate_limit/permit_holder.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Permits are held for the operations of this much time: control may be
 * without a leader for so long. */
constexpr std::chrono::duration<double> kHorizon{1.5};
/** The time between two requests while nothing is urgent. */
constexpr milliseconds kRequestInterval{600};
/** Permits that nothing happens to are confirmed this often. */
constexpr milliseconds kConfirmInterval{1000};
/** The same when permits run low, or were wanted and not granted. */
constexpr milliseconds kLowInterval{100};
/** The same while operations wait for a permit. */
constexpr milliseconds kUrgentInterval{25};
/** A request without an answer for this long is taken for lost. While several
 * in a row are, control may be overloaded, and the time doubles. */
constexpr milliseconds kAnswerTimeout{300};
constexpr milliseconds kMaxAnswerTimeout{600};
/** Control is silent after this many unanswered requests and this long without
 * an answer. */
constexpr std::uint32_t kSilentRequests = 2;
constexpr milliseconds kControlSilence{700};
/** Permits run low below this part of what is wanted, as a divisor. */
constexpr std::uint64_t kLowDivisor = 2;
/** Unneeded permits go back if there are more than this many times as many as
 * are wanted. */
constexpr std::uint64_t kReturnFactor = 2;
constexpr std::uint64_t kMaxWanted = 100000;
/** Unanswered requests whose answers are still accepted. */
constexpr std::size_t kMaxSent = 32;
/** Subtracted from a grant, with the drift of clocks. */
constexpr milliseconds kDriftAllowance{5};

}  // namespace

void PermitHolder::SetCustomers(const std::vector<Customer>& next) {
  std::map<CustomerId, Entry> known;
  known.swap(this->customers);
  for (const Customer& customer : next) {
    if (!customer.limit) continue;
    const auto found = known.find(customer.id);
    Entry& entry = this->customers[customer.id];
    if (found != known.end()) {
      entry = found->second;
    } else {
      entry.opening = ++this->last_opening;
    }
  }
}

void PermitHolder::OnArrival(steady_clock::time_point now,
                             const CustomerId& customer) {
  const auto found = this->customers.find(customer);
  if (found != this->customers.end()) found->second.arrivals.Add(now);
}

std::optional<std::uint64_t> PermitHolder::TryTake(steady_clock::time_point now,
                                                   const CustomerId& customer) {
  const auto found = this->customers.find(customer);
  if (found == this->customers.end()) return std::nullopt;
  Entry& entry = found->second;
  for (Account* account : {&entry.former, &entry.current}) {
    if (!account->MayUse(now)) continue;
    ++account->used;
    return account->number;
  }
  return std::nullopt;
}

void PermitHolder::GiveBack(const CustomerId& customer, std::uint64_t account) {
  const auto found = this->customers.find(customer);
  if (found == this->customers.end()) return;
  Entry& entry = found->second;
  if (account == entry.former.number && entry.former.used > 0) {
    --entry.former.used;
    return;
  }
  // Control may have refilled what it was told is used.
  const bool known_here = account == entry.current.number;
  if (known_here && entry.current.used > entry.reported_used) {
    --entry.current.used;
  }
}

std::uint64_t PermitHolder::Held(steady_clock::time_point now,
                                 const CustomerId& customer) const {
  const auto found = this->customers.find(customer);
  if (found == this->customers.end()) return 0;
  const Entry& entry = found->second;
  std::uint64_t held = 0;
  for (const Account* account : {&entry.former, &entry.current}) {
    if (account->MayUse(now)) held += account->Held();
  }
  return held;
}

void PermitHolder::SetWaiting(const CustomerId& customer,
                              std::size_t operations) {
  const auto found = this->customers.find(customer);
  if (found != this->customers.end()) found->second.waiting = operations;
}

std::optional<PermitHolder::Scarcity> PermitHolder::ScarcityOf(
    steady_clock::time_point now, const CustomerId& customer) const {
  const auto found = this->customers.find(customer);
  if (found == this->customers.end() || !found->second.scarcity) {
    return std::nullopt;
  }
  Scarcity scarcity = *found->second.scarcity;
  scarcity.next_permit = std::max(scarcity.next_permit, now);
  return scarcity;
}

std::uint64_t PermitHolder::Wanted(steady_clock::time_point now,
                                   const Entry& entry) const {
  const double ahead = entry.arrivals.PerSecond(now) * kHorizon.count();
  const std::uint64_t wanted =
      entry.waiting + static_cast<std::uint64_t>(std::llround(ahead));
  // A refused operation has to be followed by a request, or a proxy with few
  // operations would never learn that control answers again.
  const bool probes =
      this->unanswered >= kSilentRequests && !entry.arrivals.IsZero(now);
  return std::clamp<std::uint64_t>(wanted, probes ? 1 : 0, kMaxWanted);
}

bool PermitHolder::RunsLow(steady_clock::time_point now,
                           const Entry& entry) const {
  const std::uint64_t held =
      entry.current.MayUse(now) ? entry.current.Held() : 0;
  return held < Wanted(now, entry) / kLowDivisor;
}

/** Gives back permits that have ended here, and those that aren't wanted. */
void PermitHolder::ReturnUnneeded(steady_clock::time_point now,
                                  Entry* entry) const {
  Account& account = entry->current;
  if (now >= account.valid_until) {
    account.returned += account.Held();
    return;
  }
  const std::uint64_t wanted = Wanted(now, *entry);
  const bool surplus =
      account.Held() > std::max<std::uint64_t>(wanted * kReturnFactor, 1) ||
      entry->arrivals.IsZero(now);
  if (surplus && account.Held() > wanted) {
    account.returned += account.Held() - wanted;
  }
}

/** Whether a request has to name the customer: something changed, or the
 * permits have to be confirmed. */
bool PermitHolder::HasNews(steady_clock::time_point now,
                           const Entry& entry) const {
  const Account& account = entry.current;
  const bool confirm =
      account.Held() > 0 && now - entry.last_request >= kConfirmInterval;
  return account.used != entry.reported_used ||
         account.returned != entry.reported_returned || confirm ||
         Wanted(now, entry) > account.Held();
}

/** Until when no other request is sent, since the last one may be answered. */
steady_clock::time_point PermitHolder::AnswerDeadline() const {
  if (this->sent.count(this->sequence) == 0) return this->last_request;
  const bool first = this->unanswered <= 1;
  return this->last_request + (first ? kAnswerTimeout : kMaxAnswerTimeout);
}

bool PermitHolder::ControlIsSilent(steady_clock::time_point now) const {
  return this->unanswered >= kSilentRequests &&
         now - this->last_answer > kControlSilence;
}

std::optional<PermitRequest> PermitHolder::MakeRequest(
    steady_clock::time_point now) {
  if (now < this->NextRequest(now)) return std::nullopt;
  PermitRequest request;
  for (auto& [customer, entry] : this->customers) {
    ReturnUnneeded(now, &entry);
    if (!HasNews(now, entry)) continue;
    PermitUse use;
    use.customer = customer;
    use.opening = entry.opening;
    use.account = entry.current.number;
    use.used = entry.current.used;
    use.returned = entry.current.returned;
    use.wanted = static_cast<std::uint32_t>(Wanted(now, entry));
    use.waiting = static_cast<std::uint32_t>(
        std::min<std::size_t>(entry.waiting, use.wanted));
    entry.reported_used = use.used;
    entry.reported_returned = use.returned;
    entry.reported_wanted = use.wanted;
    entry.last_request = now;
    request.uses.push_back(std::move(use));
  }
  this->last_request = now;
  if (request.uses.empty()) return std::nullopt;
  request.sequence = ++this->sequence;
  ++this->unanswered;
  this->sent[request.sequence] = now;
  if (this->sent.size() > kMaxSent) this->sent.erase(this->sent.begin());
  return request;
}

/** How long after the last request the next one is due for a customer. */
milliseconds PermitHolder::RequestInterval(steady_clock::time_point now,
                                           const Entry& entry) const {
  const bool asked = Wanted(now, entry) <= entry.reported_wanted;
  if (entry.waiting > 0 && !asked) return kUrgentInterval;
  if (entry.waiting == 0 && !RunsLow(now, entry)) return kRequestInterval;
  // Asking more often than permits become free gains nothing.
  if (!entry.scarcity) return kLowInterval;
  return std::clamp(entry.scarcity->interval, kLowInterval, kRequestInterval);
}

steady_clock::time_point PermitHolder::NextRequest(
    steady_clock::time_point now) const {
  if (this->customers.empty()) return steady_clock::time_point::max();
  milliseconds interval = kRequestInterval;
  for (const auto& item : this->customers) {
    interval = std::min(interval, RequestInterval(now, item.second));
  }
  return std::max(this->last_request + interval, this->AnswerDeadline());
}

void PermitHolder::OnGrant(steady_clock::time_point now,
                           const PermitGrant& grant) {
  const auto found = this->sent.find(grant.sequence);
  if (found == this->sent.end()) return;
  const auto usable =
      grant.duration - grant.duration / kClockDriftParts - kDriftAllowance;
  const steady_clock::time_point valid_until = found->second + usable;
  this->sent.erase(this->sent.begin(), std::next(found));
  this->unanswered = 0;
  this->last_answer = now;
  for (const PermitAccount& answer : grant.accounts) {
    const auto item = this->customers.find(answer.customer);
    if (item == this->customers.end()) continue;
    Entry& entry = item->second;
    if (answer.account < entry.current.number) continue;
    if (answer.account > entry.current.number) {
      entry.former = entry.current;
      entry.current = Account{};
      entry.current.number = answer.account;
      entry.reported_used = 0;
      entry.reported_returned = 0;
    }
    Account& account = entry.current;
    account.granted = std::max(account.granted, answer.granted);
    account.valid_until = std::max(account.valid_until, valid_until);
    if (answer.keep && account.Held() > *answer.keep) {
      account.returned += account.Held() - *answer.keep;
    }
    entry.scarcity.reset();
    if (answer.next_permit) {
      entry.scarcity = Scarcity{now + *answer.next_permit, *answer.next_permit};
    }
  }
}

}  // namespace lacewingferry
