#include "lacewingferry/decisions/switchover/configuration_transfer.h"

#include <string>

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** About 0.7 Mbit/s: what a thin link has left beside other traffic. */
constexpr std::size_t kLinkBytesPerMillisecond = 88;
/** The bytes of a route or service besides its texts. */
constexpr std::size_t kFixedEntryBytes = 40;
/** A proxy that has a configuration says so within this, with its next
 * report. */
constexpr milliseconds kReportDelay{1000};

}  // namespace

milliseconds TransferTime(const ServiceConfiguration& configuration) {
  std::size_t bytes = 0;
  for (const Route& route : configuration.routes) {
    bytes += kFixedEntryBytes + route.name.size() + route.host.size() +
             route.prefix.size() + route.database.Value().size();
  }
  for (const ServiceRule& service : configuration.services) {
    bytes += kFixedEntryBytes + service.database.Value().size();
  }
  return milliseconds(bytes / kLinkBytesPerMillisecond);
}

void ConfigurationTransfer::OnSent(steady_clock::time_point now,
                                   std::uint64_t version,
                                   milliseconds transfer_time) {
  this->sent = version;
  this->arrives_before = now + transfer_time;
}

bool ConfigurationTransfer::IsDue(steady_clock::time_point now,
                                  std::uint64_t version) const {
  if (version <= this->held) return false;
  return this->sent <= this->held || now >= this->arrives_before + kReportDelay;
}

bool ConfigurationTransfer::IsUnderWay(steady_clock::time_point now) const {
  return this->sent > this->held && now < this->arrives_before;
}

}  // namespace lacewingferry
