#include "tests/support/standin_cluster.h"

#include <stdlib.h>

#include <boost/asio/post.hpp>
#include <filesystem>
#include <future>
#include <stdexcept>

namespace lacewingferry::testing {
namespace {

constexpr std::chrono::milliseconds kPollPause{5};

}  // namespace

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds deadline) {
  const auto end = std::chrono::steady_clock::now() + deadline;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "ferry-test-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->path = name;
}

TemporaryFolder::~TemporaryFolder() { std::filesystem::remove_all(this->path); }

standin::StandinSettings MemberSettingsOf(const std::string& name) {
  standin::StandinSettings settings;
  settings.member.name = name;
  settings.member.replication.host = "127.0.0.1";
  settings.postgres.endpoint.host = "127.0.0.1";
  settings.database = DatabaseId("works-db-1");
  settings.group = GroupId("works-db");
  settings.zone = AvailabilityZone("nairobi-a");
  settings.drain = kTestDeadline;
  return settings;
}

RunningStandin::RunningStandin(const standin::StandinSettings& settings)
    : server(std::make_unique<standin::StandinServer>(this->io, settings)),
      port(this->server->Port()),
      replication{settings.member.replication.host,
                  this->server->ReplicationPort()},
      thread([this] { this->io.run(); }) {}

RunningStandin::~RunningStandin() {
  this->io.stop();
  this->thread.join();
  this->server.reset();
}

bool RunningStandin::Drain() {
  auto done = std::make_shared<std::promise<void>>();
  boost::asio::post(this->io, [this, done] {
    this->server->Drain([done] { done->set_value(); });
  });
  return done->get_future().wait_for(kTestDeadline / 2) ==
         std::future_status::ready;
}

std::unique_ptr<RunningStandin> StartPrimary(const std::string& name) {
  standin::StandinSettings settings = MemberSettingsOf(name);
  settings.member.initial_primary = true;
  return std::make_unique<RunningStandin>(settings);
}

std::unique_ptr<RunningStandin> StartReplica(const std::string& name,
                                             const RunningStandin& primary) {
  standin::StandinSettings settings = MemberSettingsOf(name);
  settings.member.follow = primary.Replication();
  return std::make_unique<RunningStandin>(settings);
}

}  // namespace lacewingferry::testing
