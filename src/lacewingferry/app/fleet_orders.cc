#include "lacewingferry/app/fleet_orders.h"

#include <optional>
#include <utility>

#include "lacewingferry/app/first_result.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** Until an order that isn't committed yet is answered as unknown. */
constexpr milliseconds kOrderLimit{2500};

FleetApiResult ResultOf(AnnouncementResult verdict) {
  switch (verdict) {
    case AnnouncementResult::kAccepted:
      return FleetApiResult::kDone;
    case AnnouncementResult::kOutdated:
      return FleetApiResult::kOutdated;
    case AnnouncementResult::kRefused:
      return FleetApiResult::kRefused;
    default:
      return FleetApiResult::kUnknown;
  }
}

}  // namespace

FleetOrders::FleetOrders(boost::asio::io_context& context,
                         ControlReplica& control_replica,
                         FleetControl& fleet_control,
                         FleetOrderHooks order_hooks)
    : control(context),
      replica(control_replica),
      fleet(fleet_control),
      hooks(std::move(order_hooks)) {}

FleetApiPort FleetOrders::Api() {
  FleetApiPort api;
  api.leader = [this] { return this->Leader(); };
  api.replace = [this](const ServiceConfiguration& configuration,
                       const std::string& document,
                       std::function<void(FleetApiResult)> done) {
    this->Replace(configuration, document, std::move(done));
  };
  api.fetch = [this]() -> std::optional<std::string> {
    const ConfigurationSubmission& stored = this->replica.State().Services();
    if (stored.version == 0) return std::nullopt;
    return stored.document;
  };
  api.known = [this](const MemberAnnouncement& announcement) {
    return this->Known(announcement);
  };
  api.announce = [this](const MemberAnnouncement& announcement,
                        std::function<void(FleetApiResult)> done) {
    this->Announce(announcement, std::move(done));
  };
  api.farewell = [this](const MemberFarewell& farewell,
                        std::function<void(FleetApiResult)> done) {
    this->Farewell(farewell, std::move(done));
  };
  api.refused = [this](const std::string& what, const std::string& reason) {
    this->hooks.events.record(Event{EventCode::kConfigurationRefused,
                                    EventLevel::kWarning,
                                    {{"what", what}, {"reason", reason}}});
  };
  return api;
}

FleetLeader FleetOrders::Leader() const {
  if (this->hooks.leads()) return FleetLeader{true};
  const Leadership known = this->replica.CurrentLeadership();
  return FleetLeader{false, known.self ? NodeId() : known.node};
}

void FleetOrders::Propose(const ControlCommand& command,
                          std::function<void(bool)> done) {
  this->replica.Propose(
      command,
      [done = std::move(done)](const std::optional<ControlOutcome>& outcome) {
        done(outcome.has_value());
      });
}

void FleetOrders::Replace(const ServiceConfiguration& configuration,
                          const std::string& document,
                          std::function<void(FleetApiResult)> done) {
  if (configuration.version <= this->replica.State().Services().version) {
    // What is stored may be superseded elsewhere, but never by a lower one.
    done(this->hooks.leads() ? FleetApiResult::kDone
                             : FleetApiResult::kUnknown);
    return;
  }
  const auto answer =
      FirstResultWithin(this->control, kOrderLimit, std::move(done));
  const std::uint64_t version = configuration.version;
  this->Propose(
      ControlCommand{ConfigurationSubmission{version, document}},
      [this, answer, version](bool applied) {
        this->hooks.events.record(
            Event{EventCode::kConfigurationReplaced,
                  EventLevel::kInfo,
                  {{"version", std::to_string(version)},
                   {"outcome", applied ? "stored" : "unknown"}}});
        answer(applied ? FleetApiResult::kDone : FleetApiResult::kUnknown);
      });
  this->hooks.advance();
}

bool FleetOrders::Known(const MemberAnnouncement& announcement) const {
  // A choice of a primary may need the announcement as a proof that this run of
  // the member goes on, so the leader has to take it.
  const DatabaseTerm* term =
      this->replica.State().Terms().Find(announcement.info.database);
  if (term != nullptr && term->phase == TermPhase::kElecting) return false;
  const Roster& members = this->replica.State().CurrentRoster();
  return !members.IsOutdated(announcement) &&
         !members.WouldChange(announcement);
}

void FleetOrders::Announce(const MemberAnnouncement& announcement,
                           std::function<void(FleetApiResult)> done) {
  this->fleet.OnAnnouncement(
      this->hooks.now(), announcement,
      [done = std::move(done)](AnnouncementResult verdict) {
        done(ResultOf(verdict));
      });
  this->hooks.advance();
}

void FleetOrders::Farewell(const MemberFarewell& farewell,
                           std::function<void(FleetApiResult)> done) {
  this->fleet.OnDeregistration(
      this->hooks.now(), farewell,
      [done = std::move(done)](AnnouncementResult verdict) {
        done(ResultOf(verdict));
      });
  this->hooks.advance();
}

}  // namespace lacewingferry
