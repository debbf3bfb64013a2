#include <algorithm>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/gateway/gateway.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void Gateway::Open(steady_clock::time_point now, const SessionOpening& opening,
                   AdmissionHook done) {
  const Admission admission = this->Admit(opening);
  if (admission.result != AdmissionResult::kStarting || this->draining) {
    done(admission);
    return;
  }
  this->pending_openings.push_back(PendingOpening{
      opening, std::move(done), now + this->settings.session_open_timeout});
}

void Gateway::AdmitPendingOpenings() {
  std::vector<PendingOpening> waiting;
  waiting.swap(this->pending_openings);
  for (PendingOpening& pending : waiting) {
    const Admission admission = this->Admit(pending.opening);
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
    pending.done(Admission{AdmissionResult::kStarting, {}});
  }
}

bool Gateway::OwnsGroup(const DatabaseId& database) const {
  const auto group = this->view->groups.find(database);
  return group == this->view->groups.end() || group->second.allocation.owner;
}

Admission Gateway::Admit(const SessionOpening& opening) {
  if (!this->view) return Admission{AdmissionResult::kStarting, {}};
  const Route* route = this->view->configuration.FindRoute(opening.host);
  if (route == nullptr) return Admission{AdmissionResult::kNoDatabase, {}};
  const bool owner = this->OwnsGroup(route->database);
  if (opening.origin == SessionOrigin::kProxy && (!owner || this->draining)) {
    return Admission{AdmissionResult::kNotServedHere, {}};
  }
  if (!owner) {
    const auto& owners =
        this->view->groups.at(route->database).allocation.owners;
    if (owners.empty()) return Admission{AdmissionResult::kStarting, {}};
    return this->relayed.Add(opening, owners);
  }
  const auto session = std::make_shared<ClientSession>();
  session->id = opening.client;
  session->host = opening.host;
  session->origin = opening.origin;
  this->sessions[opening.client] = session;
  return Admission{AdmissionResult::kAccepted, {}};
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
