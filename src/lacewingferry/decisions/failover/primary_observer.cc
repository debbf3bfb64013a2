#include "lacewingferry/decisions/failover/primary_observer.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A probe may get lost, so it is repeated until the request times out. */
constexpr milliseconds kProbeRepeatInterval{60};

/** Whether a member needs no further probe. */
bool IsKnown(MemberSight sight) { return sight != MemberSight::kUnknown; }

MemberSight SilentIfUnknown(MemberSight sight) {
  return IsKnown(sight) ? sight : MemberSight::kSilent;
}

}  // namespace

PrimaryObserver::PrimaryObserver(PrimaryObserverHooks observer_hooks,
                                 PrimaryObserverSettings observer_settings)
    : hooks(std::move(observer_hooks)), settings(observer_settings) {}

void PrimaryObserver::SetPrimaries(
    steady_clock::time_point now,
    const std::vector<WatchedPrimary>& primaries) {
  std::map<MemberId, Watch> watched;
  for (const WatchedPrimary& primary : primaries) {
    const auto known = this->watches.find(primary.info.id);
    const bool same = known != this->watches.end() &&
                      known->second.primary.term == primary.term;
    Watch watch = same ? known->second : Watch{};
    watch.primary = primary;
    if (!same) {
      watch.last_answer = now;
      watch.next_suspicion = now;
      watch.suspicion_interval = this->settings.suspicion_interval;
    }
    watched.emplace(primary.info.id, std::move(watch));
  }
  this->watches = std::move(watched);
}

void PrimaryObserver::OnSign(steady_clock::time_point now,
                             const MemberId& member, MemberObservation sign) {
  if (sign == MemberObservation::kAnswered) {
    for (auto& item : this->observations) {
      Observation& observation = item.second;
      if (observation.request.primary.id == member) {
        observation.primary_sight = MemberSight::kAnswers;
      }
      if (observation.request.replica.id == member) {
        observation.replica_sight = MemberSight::kAnswers;
      }
    }
  }
  const auto found = this->watches.find(member);
  if (found == this->watches.end()) return;
  Watch& watch = found->second;
  switch (sign) {
    case MemberObservation::kAnswered:
      watch.probe_sent.reset();
      watch.last_answer = now;
      watch.suspicion_interval = this->settings.suspicion_interval;
      break;
    case MemberObservation::kRefused:
      this->ReportSuspicion(now, watch, MemberSight::kRefuses);
      break;
    case MemberObservation::kLost:
      this->ProbeWatchedPrimary(now, watch);
      break;
    case MemberObservation::kUnresponsive:
      this->ReportSuspicion(now, watch, MemberSight::kSilent);
      break;
  }
}

void PrimaryObserver::ReportSuspicion(steady_clock::time_point now,
                                      Watch& watch, MemberSight sight) {
  if (now < watch.next_suspicion) return;
  watch.next_suspicion = now + watch.suspicion_interval;
  watch.suspicion_interval = std::min(watch.suspicion_interval * 2,
                                      this->settings.max_suspicion_interval);
  const MemberInfo& info = watch.primary.info;
  this->hooks.report_suspicion(
      PrimarySuspicion{info.database, info.id, watch.primary.term, sight});
}

void PrimaryObserver::ProbeWatchedPrimary(steady_clock::time_point now,
                                          Watch& watch) {
  if (!watch.probe_sent) watch.probe_sent = now;
  const MemberId id = watch.primary.info.id;
  this->hooks.probe(now, watch.primary.info,
                    [this, id](steady_clock::time_point at, MemberSight sight) {
                      this->OnSign(at, id,
                                   sight == MemberSight::kAnswers
                                       ? MemberObservation::kAnswered
                                       : MemberObservation::kRefused);
                    });
}

void PrimaryObserver::OnRequest(steady_clock::time_point now,
                                const NodeId& from,
                                const ObserveRequest& request) {
  for (const auto& item : this->observations) {
    if (item.second.requester == from &&
        item.second.request.inquiry_id == request.inquiry_id &&
        item.second.request.replica.id == request.replica.id) {
      return;
    }
  }
  const std::uint64_t observation_id = this->next_observation_id++;
  Observation& observation = this->observations[observation_id];
  observation.requester = from;
  observation.request = request;
  observation.started = now;
  this->SendObservationProbes(now, observation_id);
}

void PrimaryObserver::SendObservationProbes(steady_clock::time_point now,
                                            std::uint64_t observation_id) {
  Observation& observation = this->observations.at(observation_id);
  observation.next_probe = now + kProbeRepeatInterval;
  const auto probe = [&](const MemberInfo& member) {
    this->hooks.probe_server(now, member,
                             [this, observation_id, id = member.id](
                                 steady_clock::time_point, MemberSight sight) {
                               this->OnProbeResult(observation_id, id, sight);
                             });
  };
  if (!IsKnown(observation.primary_sight)) probe(observation.request.primary);
  if (!IsKnown(observation.replica_sight)) probe(observation.request.replica);
}

void PrimaryObserver::OnProbeResult(std::uint64_t observation_id,
                                    const MemberId& member, MemberSight sight) {
  const auto found = this->observations.find(observation_id);
  if (found == this->observations.end()) return;
  Observation& observation = found->second;
  MemberSight& seen = member == observation.request.primary.id
                          ? observation.primary_sight
                          : observation.replica_sight;
  if (seen != MemberSight::kAnswers) seen = sight;
  if (IsKnown(observation.primary_sight) &&
      IsKnown(observation.replica_sight)) {
    this->SendReply(observation_id);
  }
}

void PrimaryObserver::SendReply(std::uint64_t observation_id) {
  const Observation observation = this->observations.at(observation_id);
  this->observations.erase(observation_id);
  const ObserveRequest& request = observation.request;
  ObserveReply reply;
  reply.inquiry_id = request.inquiry_id;
  reply.database = request.database;
  reply.replica = request.replica.id;
  reply.primary_sight = SilentIfUnknown(observation.primary_sight);
  reply.replica_sight = SilentIfUnknown(observation.replica_sight);
  this->hooks.reply(observation.requester, reply);
}

void PrimaryObserver::OnTick(steady_clock::time_point now) {
  for (auto& item : this->watches) {
    Watch& watch = item.second;
    if (now < this->DueAt(watch)) continue;
    if (watch.probe_sent) {
      this->ReportSuspicion(now, watch, MemberSight::kSilent);
    } else {
      this->ProbeWatchedPrimary(now, watch);
    }
  }
  std::vector<std::uint64_t> ids;
  for (const auto& item : this->observations) ids.push_back(item.first);
  for (const std::uint64_t id : ids) {
    const Observation& observation = this->observations.at(id);
    if (now >= observation.started + observation.request.patience) {
      this->SendReply(id);
    } else if (now >= observation.next_probe) {
      this->SendObservationProbes(now, id);
    }
  }
}

steady_clock::time_point PrimaryObserver::DueAt(const Watch& watch) const {
  if (!watch.probe_sent) {
    return watch.last_answer + this->settings.idle_probe_interval;
  }
  return std::max(*watch.probe_sent + this->settings.probe_timeout,
                  watch.next_suspicion);
}

std::optional<steady_clock::time_point> PrimaryObserver::NextWakeup() const {
  std::optional<steady_clock::time_point> next;
  const auto consider = [&](steady_clock::time_point time) {
    if (!next || time < *next) next = time;
  };
  for (const auto& item : this->watches) consider(this->DueAt(item.second));
  for (const auto& item : this->observations) {
    consider(std::min(item.second.next_probe,
                      item.second.started + item.second.request.patience));
  }
  return next;
}

}  // namespace lacewingferry
