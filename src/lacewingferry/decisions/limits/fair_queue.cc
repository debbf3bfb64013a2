#include "lacewingferry/decisions/limits/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** How many sessions' turns are remembered. */
constexpr std::size_t kMostRemembered = 4096;

/** Finds the queue of an id, or the end. */
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
    const std::uint64_t served_at = this->ServedAt(job.request.session);
    session = customer->sessions.insert(
        std::find_if(customer->sessions.begin(), customer->sessions.end(),
                     [served_at](const SessionQueue& other) {
                       return other.served_at > served_at;
                     }),
        SessionQueue{job.request.session, {}, served_at});
  }
  this->deadlines.insert(job.deadline);
  ++customer->size;
  const auto deadline = job.deadline;
  session->jobs.emplace(deadline, std::move(job));
}

std::uint64_t FairQueue::ServedAt(const SessionId& session) const {
  const auto found = this->served.find(session);
  return found == this->served.end() ? 0 : found->second;
}

void FairQueue::NoteServed(const SessionId& session) {
  ++this->turn;
  // Forgetting all at once is rare and costs one round of less even turns.
  if (this->served.size() >= kMostRemembered) this->served.clear();
  this->served[session] = this->turn;
}

std::optional<Job> FairQueue::Pop() {
  if (this->customers.empty()) return std::nullopt;
  CustomerQueue& customer = this->customers.front();
  SessionQueue& session = customer.sessions.front();
  Job job = std::move(session.jobs.extract(session.jobs.begin()).mapped());
  --customer.size;
  this->deadlines.erase(this->deadlines.find(job.deadline));
  this->NoteServed(session.id);
  session.served_at = this->turn;
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

std::optional<Job> FairQueue::TakeFromLongest() {
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

std::size_t FairQueue::CountOf(const CustomerId& customer) const {
  const CustomerQueue* found = this->FindCustomer(customer);
  return found == nullptr ? 0 : found->size;
}

// A job at place p of its session is served in round p of its customer's
// sessions, after those that were served longer ago, and each turn of the
// customer is one round of all customers. The
// others have that many turns at the most, and no more than they have jobs.
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
    const std::uint64_t served_at = this->ServedAt(job.request.session);
    for (const SessionQueue& other : customer->sessions) {
      const bool before = other.served_at <= served_at;
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
std::vector<Job> FairQueue::TakeIf(Predicate predicate) {
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
  return this->TakeIf([now](const Job& job) { return job.deadline <= now; });
}

std::vector<Job> FairQueue::TakeAll() {
  return this->TakeIf([](const Job&) { return true; });
}

std::optional<steady_clock::time_point> FairQueue::NextDeadline() const {
  if (this->deadlines.empty()) return std::nullopt;
  return *this->deadlines.begin();
}

}  // namespace lacewingferry
