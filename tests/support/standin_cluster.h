#ifndef TESTS_SUPPORT_STANDIN_CLUSTER_H_
#define TESTS_SUPPORT_STANDIN_CLUSTER_H_

// Defines RunningStandin, a stand-in server on a thread of the test's process.

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "standin/standin_server.h"

namespace lacewingferry::testing {

/** How long a test waits for something that has to happen. */
constexpr std::chrono::seconds kTestDeadline{10};

/** Polls a condition until it holds. Returns whether it did so in time. */
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds deadline = kTestDeadline);

/** A folder that is removed at the end. */
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

/** Settings of a member with free ports on loopback. */
standin::StandinSettings MemberSettingsOf(const std::string& name);

/** A server that runs until it is destroyed. */
class RunningStandin {
 public:
  explicit RunningStandin(const standin::StandinSettings& settings);
  ~RunningStandin();
  RunningStandin(const RunningStandin&) = delete;
  RunningStandin& operator=(const RunningStandin&) = delete;

  std::uint16_t Port() const { return this->port; }
  Endpoint Replication() const { return this->replication; }

  /** Lets the server leave. Returns whether it was done in time. */
  bool Drain();

 private:
  boost::asio::io_context io{1};
  std::unique_ptr<standin::StandinServer> server;
  std::uint16_t port = 0;
  Endpoint replication;
  std::thread thread;
};

/** A primary of term 1. */
std::unique_ptr<RunningStandin> StartPrimary(const std::string& name);

/** A replica that follows a primary. */
std::unique_ptr<RunningStandin> StartReplica(const std::string& name,
                                             const RunningStandin& primary);

}  // namespace lacewingferry::testing

#endif  // TESTS_SUPPORT_STANDIN_CLUSTER_H_
