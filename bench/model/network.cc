#include "bench/model/network.h"

#include <algorithm>

namespace lacewingferry::model {

Network::Network(EventQueue& event_queue, std::chrono::nanoseconds zone_to_zone,
                 std::chrono::nanoseconds within_zone)
    : queue(event_queue), between(zone_to_zone), inside(within_zone) {}

void Network::Deliver(const AvailabilityZone& from, const AvailabilityZone& to,
                      std::function<void()> action) {
  if (!this->Reaches(from, to)) return;
  this->queue.After(this->Latency(from, to),
                    [this, from, to, action = std::move(action)] {
                      if (this->Reaches(from, to)) action();
                    });
}

void Network::SetCut(const AvailabilityZone& a, const AvailabilityZone& b,
                     bool cut) {
  const Pair pair = std::minmax(a, b);
  if (cut) {
    this->cuts.insert(pair);
  } else {
    this->cuts.erase(pair);
  }
}

bool Network::Reaches(const AvailabilityZone& from,
                      const AvailabilityZone& to) const {
  return this->cuts.count(std::minmax(from, to)) == 0;
}

std::chrono::nanoseconds Network::Latency(const AvailabilityZone& from,
                                          const AvailabilityZone& to) const {
  return from == to ? this->inside : this->between;
}

}  // namespace lacewingferry::model
