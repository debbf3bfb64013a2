#include <algorithm>
#include <utility>
#include <vector>

#include "lacewingferry/decisions/gateway/gateway.h"

namespace lacewingferry {

using std::chrono::steady_clock;

void Gateway::Open(steady_clock::time_point now, const SessionOpening& opening,
                   AdmissionHook done) {
  const Admission admission = this->Admit(opening);
  if (admission.verdict != AdmissionVerdict::kStarting || this->draining) {
    done(admission);
    return;
  }
  this->openings.push_back(
      Opening{opening, std::move(done), now + this->settings.opening_limit});
}

void Gateway::AdmitWaiting() {
  std::vector<Opening> waiting;
  waiting.swap(this->openings);
  for (Opening& opening : waiting) {
    const Admission admission = this->Admit(opening.asked);
    if (admission.verdict == AdmissionVerdict::kStarting) {
      this->openings.push_back(std::move(opening));
    } else {
      opening.done(admission);
    }
  }
}

/** Refuses openings whose wait is over; a proxy that stops refuses all, since
 * others know more. */
void Gateway::RefuseLate(steady_clock::time_point now) {
  const auto late =
      std::stable_partition(this->openings.begin(), this->openings.end(),
                            [this, now](const Opening& opening) {
                              return now < opening.limit && !this->draining;
                            });
  const std::vector<Opening> refused(late, this->openings.end());
  this->openings.erase(late, this->openings.end());
  for (const Opening& opening : refused) {
    opening.done(Admission{AdmissionVerdict::kStarting, {}});
  }
}

bool Gateway::OwnsGroup(const DatabaseId& database) const {
  const auto group = this->view->groups.find(database);
  return group == this->view->groups.end() || group->second.deal.owner;
}

Admission Gateway::Admit(const SessionOpening& opening) {
  if (!this->view) return Admission{AdmissionVerdict::kStarting, {}};
  const Route* route = this->view->configuration.FindRoute(opening.host);
  if (route == nullptr) return Admission{AdmissionVerdict::kNoDatabase, {}};
  const bool owner = this->OwnsGroup(route->database);
  if (opening.origin == SessionOrigin::kProxy && (!owner || this->draining)) {
    return Admission{AdmissionVerdict::kNotServedHere, {}};
  }
  if (!owner) {
    const auto& owners = this->view->groups.at(route->database).deal.owners;
    if (owners.empty()) return Admission{AdmissionVerdict::kStarting, {}};
    return this->relayed.Add(opening, owners);
  }
  const auto session = std::make_shared<ClientSession>();
  session->id = opening.client;
  session->host = opening.host;
  session->origin = opening.origin;
  this->sessions[opening.client] = session;
  return Admission{AdmissionVerdict::kAccepted, {}};
}

/** The deal of the group that a database name leads to; nullptr where there
 * is none. */
const ConnectionAllocation* Gateway::DealOf(const std::string& host) const {
  const Route* route = this->view->configuration.FindRoute(host);
  if (route == nullptr) return nullptr;
  const auto group = this->view->groups.find(route->database);
  return group == this->view->groups.end() ? nullptr : &group->second.deal;
}

std::size_t Gateway::EndAtRest(
    const std::function<bool(const ClientSession&)>& ends) {
  std::vector<ClientId> ended;
  for (const auto& [id, session] : this->sessions) {
    if (session->MayEndAtRest() && ends(*session)) ended.push_back(id);
  }
  for (const ClientId id : ended) {
    this->sessions.erase(id);
    this->hooks.close_client(id);
  }
  return ended.size();
}

/** Sessions of groups that others own now are ended at rest, to come back to
 * an owner. */
void Gateway::EndSessionsOfOthers() {
  const auto& known = this->view->groups;
  const bool owns_all =
      std::all_of(known.begin(), known.end(),
                  [](const auto& item) { return item.second.deal.owner; });
  if (!owns_all) {
    this->EndAtRest([this](const ClientSession& session) {
      const ConnectionAllocation* deal = this->DealOf(session.host);
      return deal != nullptr && !deal->owner;
    });
  }
  this->relayed.KeepOwners([this](const std::string& host) {
    const ConnectionAllocation* deal = this->DealOf(host);
    return deal == nullptr ? nullptr : &deal->owners;
  });
}

}  // namespace lacewingferry
