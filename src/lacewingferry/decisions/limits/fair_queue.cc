#include "lacewingferry/decisions/limits/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** Maximum sessions whose last turn is recorded. */
constexpr std::size_t kMaxRecorded = 4096;

/** Finds the queue with an id, or the end. */
template <typename Queues, typename Id>
auto FindQueue(Queues& queues, const Id& id) {
  return std::find_if(queues.begin(), queues.end(),
                      [&id](const auto& queue) { return queue.id == id; });
}

}  // namespace

void FairQueue::Push(Job job) {
  auto customer = FindQueue(this->customers, job.request.customer);
  if (customer == this->customers.end()) {
    customer = this->customers.insert(
        customer, CustomerQueue{job.request.customer, 0, {}});
  }
  auto session = FindQueue(customer->sessions, job.request.session);
  if (session == customer->sessions.end()) {
    const std::uint64_t last_served_turn =
        this->LastServedTurn(job.request.session);
    session = customer->sessions.insert(
        std::find_if(customer->sessions.begin(), customer->sessions.end(),
                     [last_served_turn](const SessionQueue& other) {
                       return other.last_served_turn > last_served_turn;
                     }),
        SessionQueue{job.request.session, {}, last_served_turn});
  }
  this->deadlines.insert(job.deadline);
  ++customer->size;
  const auto deadline = job.deadline;
  session->jobs.emplace(deadline, std::move(job));
}

std::uint64_t FairQueue::LastServedTurn(const SessionId& session) const {
  const auto found = this->last_turns.find(session);
  return found == this->last_turns.end() ? 0 : found->second;
}

void FairQueue::RecordServed(const SessionId& session) {
  ++this->turn;
  // Clearing all records is rare, and makes only one round of turns less even.
  if (this->last_turns.size() >= kMaxRecorded) this->last_turns.clear();
  this->last_turns[session] = this->turn;
}

std::optional<Job> FairQueue::Pop() {
  if (this->customers.empty()) return std::nullopt;
  CustomerQueue& customer = this->customers.front();
  SessionQueue& session = customer.sessions.front();
  Job job = std::move(session.jobs.extract(session.jobs.begin()).mapped());
  --customer.size;
  this->deadlines.erase(this->deadlines.find(job.deadline));
  this->RecordServed(session.id);
  session.last_served_turn = this->turn;
  if (session.jobs.empty()) {
    customer.sessions.pop_front();
  } else {
    customer.sessions.splice(customer.sessions.end(), customer.sessions,
                             customer.sessions.begin());
  }
  if (customer.size == 0) {
    this->customers.pop_front();
  } else {
    this->customers.splice(this->customers.end(), this->customers,
                           this->customers.begin());
  }
  return job;
}

std::optional<Job> FairQueue::TakeFromLargestCustomer() {
  if (this->customers.empty()) return std::nullopt;
  const auto customer = std::max_element(
      this->customers.begin(), this->customers.end(),
      [](const auto& a, const auto& b) { return a.size < b.size; });
  const auto session =
      std::max_element(customer->sessions.begin(), customer->sessions.end(),
                       [](const auto& a, const auto& b) {
                         return a.jobs.size() < b.jobs.size();
                       });
  Job job =
      std::move(session->jobs.extract(std::prev(session->jobs.end())).mapped());
  this->deadlines.erase(this->deadlines.find(job.deadline));
  if (session->jobs.empty()) customer->sessions.erase(session);
  if (--customer->size == 0) this->customers.erase(customer);
  return job;
}

const FairQueue::CustomerQueue* FairQueue::FindCustomer(
    const CustomerId& customer) const {
  const auto found = FindQueue(this->customers, customer);
  return found == this->customers.end() ? nullptr : &*found;
}

std::size_t FairQueue::CountForCustomer(const CustomerId& customer) const {
  const CustomerQueue* found = this->FindCustomer(customer);
  return found == nullptr ? 0 : found->size;
}

// A job with p jobs ahead of it in its session is served in round p of its
// customer's sessions, after those that were served longer ago. Each turn of
// the customer is one round of all customers, so every other customer gets at
// most that many turns, and no more than it has jobs.
std::size_t FairQueue::CountAhead(const Job& job) const {
  const CustomerQueue* customer = this->FindCustomer(job.request.customer);
  std::size_t own = 0;
  if (customer != nullptr) {
    const auto session = FindQueue(customer->sessions, job.request.session);
    const std::size_t place =
        session == customer->sessions.end()
            ? 0
            : static_cast<std::size_t>(
                  std::distance(session->jobs.begin(),
                                session->jobs.upper_bound(job.deadline)));
    const std::uint64_t last_served_turn =
        this->LastServedTurn(job.request.session);
    for (const SessionQueue& other : customer->sessions) {
      const bool before = other.last_served_turn <= last_served_turn;
      own += std::min(other.jobs.size(), before ? place + 1 : place);
    }
  }
  std::size_t ahead = own;
  for (const CustomerQueue& other : this->customers) {
    if (&other != customer) ahead += std::min(other.size, own + 1);
  }
  return ahead;
}

template <typename Predicate>
std::vector<Job> FairQueue::RemoveIf(Predicate predicate) {
  std::vector<Job> taken;
  for (CustomerQueue& customer : this->customers) {
    for (SessionQueue& session : customer.sessions) {
      for (auto it = session.jobs.begin(); it != session.jobs.end();) {
        if (!predicate(it->second)) {
          ++it;
          continue;
        }
        taken.push_back(std::move(it->second));
        this->deadlines.erase(this->deadlines.find(it->first));
        --customer.size;
        it = session.jobs.erase(it);
      }
    }
    customer.sessions.remove_if(
        [](const SessionQueue& session) { return session.jobs.empty(); });
  }
  this->customers.remove_if(
      [](const CustomerQueue& customer) { return customer.size == 0; });
  return taken;
}

std::vector<Job> FairQueue::TakeExpired(steady_clock::time_point now) {
  const auto next = this->NextDeadline();
  if (!next || *next > now) return {};
  return this->RemoveIf([now](const Job& job) { return job.deadline <= now; });
}

std::vector<Job> FairQueue::TakeAll() {
  return this->RemoveIf([](const Job&) { return true; });
}

std::optional<steady_clock::time_point> FairQueue::NextDeadline() const {
  if (this->deadlines.empty()) return std::nullopt;
  return *this->deadlines.begin();
}

}  // namespace lacewingferry
