#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/gateway/gateway.h"
#include "lacewingferry/decisions/ownership/rendezvous.h"

namespace lacewingferry {
namespace {

using std::chrono::steady_clock;

/** The owners in the order in which a customer's sessions try them. A customer
 * keeps to one of them, whose connections in its name are then used often. */
std::vector<NodeId> RankOwners(const DatabaseId& database,
                               const CustomerId& customer,
                               std::vector<NodeId> owners) {
  if (customer.Empty()) return owners;
  const std::string key = database.Value() + '/' + customer.Value();
  std::sort(owners.begin(), owners.end(),
            [&](const NodeId& a, const NodeId& b) {
              return RendezvousWeight(key, a.Value()) >
                     RendezvousWeight(key, b.Value());
            });
  return owners;
}

}  // namespace

void Gateway::Open(steady_clock::time_point now, const SessionOpening& opening,
                   AdmissionHook done) {
  const Admission admission = this->Admit(now, opening);
  if (admission.result != AdmissionResult::kStarting || this->draining) {
    done(admission);
    return;
  }
  this->pending_openings.push_back(PendingOpening{
      opening, std::move(done), now + this->settings.session_open_timeout});
}

void Gateway::AdmitPendingOpenings(steady_clock::time_point now) {
  std::vector<PendingOpening> waiting;
  waiting.swap(this->pending_openings);
  for (PendingOpening& pending : waiting) {
    const Admission admission = this->Admit(now, pending.opening);
    if (admission.result == AdmissionResult::kStarting) {
      this->pending_openings.push_back(std::move(pending));
    } else {
      pending.done(admission);
    }
  }
}

/** Refuses pending openings whose deadline has passed. A draining proxy refuses
 * all of them, since other proxies may already be able to serve them. */
void Gateway::RefuseExpiredOpenings(steady_clock::time_point now) {
  const auto late = std::stable_partition(
      this->pending_openings.begin(), this->pending_openings.end(),
      [this, now](const PendingOpening& pending) {
        return now < pending.deadline && !this->draining;
      });
  const std::vector<PendingOpening> refused(late, this->pending_openings.end());
  this->pending_openings.erase(late, this->pending_openings.end());
  for (const PendingOpening& pending : refused) {
    pending.done(Admission{AdmissionResult::kStarting});
  }
}

bool Gateway::OwnsGroup(const DatabaseId& database) const {
  const auto group = this->view->groups.find(database);
  return group == this->view->groups.end() || group->second.allocation.owner;
}

/** Whether this proxy is an owner of the route's group and may start operations
 * of the customer. An owner that control doesn't answer leaves customers with a
 * rate limit to the other owners. */
bool Gateway::ServesHere(steady_clock::time_point now, const Route& route,
                         const CustomerId& customer) const {
  if (!this->OwnsGroup(route.database)) return false;
  const auto group = this->view->groups.find(route.database);
  const bool others = group != this->view->groups.end() &&
                      group->second.allocation.owners.size() > 1;
  return !others || !this->limits.LacksControl(now, customer);
}

Admission Gateway::Admit(steady_clock::time_point now,
                         const SessionOpening& opening) {
  // A client must not be refused for a route or a key that the relaying proxy
  // knows from a newer configuration.
  const bool outdated =
      !this->view || this->view->configuration.version < opening.least_version;
  if (outdated) return Admission{AdmissionResult::kStarting};
  const Route* route = this->view->configuration.FindRoute(opening.host);
  if (route == nullptr) return Admission{AdmissionResult::kNoDatabase};
  const Customer* customer = nullptr;
  if (this->view->configuration.NeedsKey(*route)) {
    customer = this->view->FindCustomer(opening.key);
    if (customer == nullptr) {
      this->RecordRefusedKey(now, opening.host);
      return Admission{AdmissionResult::kUnknownKey};
    }
  }
  const CustomerId customer_id = customer ? customer->id : CustomerId();
  const bool owner = this->ServesHere(now, *route, customer_id);
  if (opening.origin == SessionOrigin::kProxy && (!owner || this->draining)) {
    return Admission{AdmissionResult::kNotServedHere};
  }
  if (!owner) {
    const auto& owners =
        this->view->groups.at(route->database).allocation.owners;
    if (owners.empty()) return Admission{AdmissionResult::kStarting};
    Admission admission = this->relayed.Add(
        opening, customer_id, RankOwners(route->database, customer_id, owners));
    admission.configuration_version = this->view->configuration.version;
    return admission;
  }
  const auto session = std::make_shared<ClientSession>();
  session->id = opening.client;
  session->host = opening.host;
  session->origin = opening.origin;
  session->key = opening.key;
  session->customer = customer_id;
  session->customer_priority = customer ? customer->priority : 0;
  this->sessions[opening.client] = session;
  return Admission{AdmissionResult::kAccepted};
}

/** The connection allocation of the group that a database name is routed to;
 * nullptr if there is no such route or group. */
const ConnectionAllocation* Gateway::AllocationForHost(
    const std::string& host) const {
  const Route* route = this->view->configuration.FindRoute(host);
  if (route == nullptr) return nullptr;
  const auto group = this->view->groups.find(route->database);
  return group == this->view->groups.end() ? nullptr
                                           : &group->second.allocation;
}

std::size_t Gateway::CloseIdleSessions(
    const std::function<bool(const ClientSession&)>& should_close) {
  std::vector<ClientId> ended;
  for (const auto& [id, session] : this->sessions) {
    if (session->MayCloseIdle() && should_close(*session)) ended.push_back(id);
  }
  for (const ClientId id : ended) {
    this->sessions.erase(id);
    this->hooks.close_client(id);
  }
  return ended.size();
}

/** Closes idle sessions of groups that other proxies own now, so that the
 * clients reconnect and reach an owner. */
void Gateway::CloseSessionsNotOwned() {
  const auto& known = this->view->groups;
  const bool owns_all = std::all_of(
      known.begin(), known.end(),
      [](const auto& item) { return item.second.allocation.owner; });
  if (!owns_all) {
    this->CloseIdleSessions([this](const ClientSession& session) {
      const ConnectionAllocation* allocation =
          this->AllocationForHost(session.host);
      return allocation != nullptr && !allocation->owner;
    });
  }
  this->relayed.CloseWithFormerOwners([this](const std::string& host) {
    const ConnectionAllocation* allocation = this->AllocationForHost(host);
    return allocation == nullptr ? nullptr : &allocation->owners;
  });
}

}  // namespace lacewingferry
