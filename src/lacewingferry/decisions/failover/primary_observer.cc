#include "lacewingferry/decisions/failover/primary_observer.h"

#include <algorithm>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** A probe may get lost, so it is repeated within the patience. */
constexpr milliseconds kProbeRepeat{60};

/** Whether one more probe would tell nothing new. */
bool Settled(MemberSight sight) { return sight != MemberSight::kUnknown; }

MemberSight OrSilent(MemberSight sight) {
  return Settled(sight) ? sight : MemberSight::kSilent;
}

}  // namespace

PrimaryObserver::PrimaryObserver(PrimaryObserverHooks observer_hooks,
                                 PrimaryObserverSettings observer_settings)
    : hooks(std::move(observer_hooks)), settings(observer_settings) {}

void PrimaryObserver::SetPrimaries(
    steady_clock::time_point now,
    const std::vector<WatchedPrimary>& primaries) {
  std::map<MemberId, Watch> kept;
  for (const WatchedPrimary& primary : primaries) {
    const auto known = this->watches.find(primary.info.id);
    const bool same = known != this->watches.end() &&
                      known->second.primary.term == primary.term;
    Watch watch = same ? known->second : Watch{};
    watch.primary = primary;
    if (!same) {
      watch.last_answer = now;
      watch.next_suspicion = now;
      watch.pause = this->settings.suspicion_pause;
    }
    kept.emplace(primary.info.id, std::move(watch));
  }
  this->watches = std::move(kept);
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
      watch.asked.reset();
      watch.last_answer = now;
      watch.pause = this->settings.suspicion_pause;
      break;
    case MemberObservation::kRefused:
      this->Suspect(now, watch, MemberSight::kRefuses);
      break;
    case MemberObservation::kLost:
      this->ProbeWatched(now, watch);
      break;
    case MemberObservation::kUnresponsive:
      this->Suspect(now, watch, MemberSight::kSilent);
      break;
  }
}

void PrimaryObserver::Suspect(steady_clock::time_point now, Watch& watch,
                              MemberSight sight) {
  if (now < watch.next_suspicion) return;
  watch.next_suspicion = now + watch.pause;
  watch.pause = std::min(watch.pause * 2, this->settings.suspicion_pause_limit);
  const MemberInfo& info = watch.primary.info;
  this->hooks.suspect(
      PrimarySuspicion{info.database, info.id, watch.primary.term, sight});
}

void PrimaryObserver::ProbeWatched(steady_clock::time_point now, Watch& watch) {
  if (!watch.asked) watch.asked = now;
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
    if (item.second.asker == from &&
        item.second.request.inquiry_id == request.inquiry_id &&
        item.second.request.replica.id == request.replica.id) {
      return;
    }
  }
  const std::uint64_t number = this->next_observation++;
  Observation& observation = this->observations[number];
  observation.asker = from;
  observation.request = request;
  observation.started = now;
  this->ProbeForControl(now, number);
}

void PrimaryObserver::ProbeForControl(steady_clock::time_point now,
                                      std::uint64_t number) {
  Observation& observation = this->observations.at(number);
  observation.next_probe = now + kProbeRepeat;
  const auto probe = [&](const MemberInfo& member) {
    this->hooks.probe_server(now, member,
                             [this, number, id = member.id](
                                 steady_clock::time_point, MemberSight sight) {
                               this->OnSight(number, id, sight);
                             });
  };
  if (!Settled(observation.primary_sight)) probe(observation.request.primary);
  if (!Settled(observation.replica_sight)) probe(observation.request.replica);
}

void PrimaryObserver::OnSight(std::uint64_t number, const MemberId& member,
                              MemberSight sight) {
  const auto found = this->observations.find(number);
  if (found == this->observations.end()) return;
  Observation& observation = found->second;
  MemberSight& seen = member == observation.request.primary.id
                          ? observation.primary_sight
                          : observation.replica_sight;
  if (seen != MemberSight::kAnswers) seen = sight;
  if (Settled(observation.primary_sight) &&
      Settled(observation.replica_sight)) {
    this->Answer(number);
  }
}

void PrimaryObserver::Answer(std::uint64_t number) {
  const Observation observation = this->observations.at(number);
  this->observations.erase(number);
  const ObserveRequest& request = observation.request;
  ObserveReply reply;
  reply.inquiry_id = request.inquiry_id;
  reply.database = request.database;
  reply.replica = request.replica.id;
  reply.primary_sight = OrSilent(observation.primary_sight);
  reply.replica_sight = OrSilent(observation.replica_sight);
  this->hooks.reply(observation.asker, reply);
}

void PrimaryObserver::OnTick(steady_clock::time_point now) {
  for (auto& item : this->watches) {
    Watch& watch = item.second;
    if (now < this->DueAt(watch)) continue;
    if (watch.asked) {
      this->Suspect(now, watch, MemberSight::kSilent);
    } else {
      this->ProbeWatched(now, watch);
    }
  }
  std::vector<std::uint64_t> numbers;
  for (const auto& item : this->observations) numbers.push_back(item.first);
  for (const std::uint64_t number : numbers) {
    const Observation& observation = this->observations.at(number);
    if (now >= observation.started + observation.request.patience) {
      this->Answer(number);
    } else if (now >= observation.next_probe) {
      this->ProbeForControl(now, number);
    }
  }
}

steady_clock::time_point PrimaryObserver::DueAt(const Watch& watch) const {
  if (!watch.asked) {
    return watch.last_answer + this->settings.idle_probe_interval;
  }
  return std::max(*watch.asked + this->settings.silence, watch.next_suspicion);
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
