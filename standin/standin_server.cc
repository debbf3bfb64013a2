#include "standin/standin_server.h"

#include <utility>

#include "standin/log_line.h"
#include "standin/member_functions.h"

namespace lacewingferry::standin {
namespace {

/** A number that is larger for each later run. */
std::uint64_t IncarnationNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

SqlError HistoryReplaced() {
  return SqlError("57P01", "the member's history was replaced");
}

}  // namespace

StandinServer::StandinServer(boost::asio::io_context& context,
                             StandinSettings server_settings)
    : settings(std::move(server_settings)),
      drain_timer(context),
      incarnation(IncarnationNow()) {
  this->member = std::make_unique<Member>(
      context, this->settings.member,
      MemberHooks{[this] { this->postgres->DemoteSessions(); },
                  [this] { this->postgres->DropSessions(HistoryReplaced()); }});
  this->postgres = std::make_unique<PostgresServer>(
      context, this->settings.postgres,
      PostgresServerHooks{
          [this](std::uint32_t number) { return this->OpenSession(number); },
          [this] {
            if (this->leave_announced) this->FinishDrain();
          }});
  this->announcer = std::make_shared<Announcer>(
      context, this->settings.announcer,
      [this] { return this->CurrentAnnouncement(); });
  this->announcer->Start();
  LogLine("listening",
          {{"member", this->settings.member.name},
           {"port", std::to_string(this->Port())},
           {"replication_port", std::to_string(this->ReplicationPort())}});
}

StandinServer::~StandinServer() { this->Stop(); }

std::shared_ptr<SqlSession> StandinServer::OpenSession(std::uint32_t number) {
  SqlSessionHooks hooks{
      [this] { return this->member->State().primary; },
      [this](std::vector<SqlStatement> statements) {
        this->member->Append(std::move(statements));
      },
      [this](const FerryCall& call, const std::vector<std::string>& arguments) {
        return CallMemberFunction(
            *this->member, [this] { this->Leave(); }, call, arguments);
      }};
  return std::make_shared<SqlSession>(number, this->member->Open(),
                                      this->member->Lock(), std::move(hooks));
}

Announcement StandinServer::CurrentAnnouncement() const {
  Announcement announcement;
  announcement.info = MemberInfo{MemberId(this->settings.member.name),
                                 this->settings.database,
                                 this->settings.group,
                                 this->settings.zone,
                                 this->settings.postgres.endpoint,
                                 this->settings.postgres.slots,
                                 this->leaving};
  announcement.info.endpoint.port = this->Port();
  announcement.replication_port = this->ReplicationPort();
  announcement.primary = this->member->State().primary;
  announcement.term = this->member->State().term;
  announcement.position = this->member->History();
  announcement.incarnation = this->incarnation;
  return announcement;
}

void StandinServer::Leave() {
  if (std::exchange(this->leaving, true)) return;
  LogLine("leaving", {{"member", this->settings.member.name}});
  this->announcer->AnnounceNow([this] {
    this->leave_announced = true;
    if (this->postgres->SessionCount() == 0) this->FinishDrain();
  });
}

void StandinServer::Drain(std::function<void()> done) {
  this->drained = std::move(done);
  this->drain_timer.expires_after(this->settings.drain);
  this->drain_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->FinishDrain();
  });
  if (this->leave_announced && this->postgres->SessionCount() == 0) {
    this->FinishDrain();
  }
  this->Leave();
}

void StandinServer::FinishDrain() {
  if (const auto hook = std::exchange(this->drained, nullptr)) hook();
}

void StandinServer::Stop() {
  this->drain_timer.cancel();
  this->announcer->Stop();
  this->postgres->Stop();
  this->member->Stop();
}

}  // namespace lacewingferry::standin
