#ifndef LACEWINGFERRY_CORE_SETTINGS_H_
#define LACEWINGFERRY_CORE_SETTINGS_H_

// Defines the settings of each program, as its settings file states them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lacewingferry/core/ids.h"
#include "lacewingferry/core/routing_view.h"

namespace lacewingferry {

/** Another process and the address at which it takes messages. */
struct PeerAddress {
  NodeId id;
  std::string url;
};

/** Where the log goes and how much of it. */
struct LogSettings {
  /** The file's path; empty for standard error. */
  std::string file;
  /** The least level that is written: debug, info, warning or error. */
  std::string level = "info";
  /** Whether the log goes to standard output instead, without ever waiting for
   * its reader. */
  bool standard_output = false;
};

/** The SQL by which members tell and change their state. The defaults are
 * those of the stand-in; a PostgreSQL deployment names functions of its own. */
struct MemberDialect {
  std::string status = "SELECT * FROM ferry_status()";
  std::string fence = "SELECT * FROM ferry_fence($1)";
  std::string promote = "SELECT * FROM ferry_promote($1)";
  std::string follow = "SELECT * FROM ferry_follow($1, $2, $3)";
  std::string user = "lacewingferry";
};

/** The settings of a proxy. */
struct ProxySettings {
  NodeId node;
  AvailabilityZone zone;
  /** The region that the zone belongs to. */
  std::string region;
  /** Where callers and announcing members connect. */
  Endpoint listen;
  /** Where other processes send messages, for example tcp://127.0.0.1:7001. */
  std::string peer_url;
  /** Proxies to meet first; the others are learned from them. */
  std::vector<PeerAddress> peers;
  /** The control processes. */
  std::vector<PeerAddress> control;
  std::size_t traffic_threads = 2;
  /** Signs session tokens; the same on all proxies, 16 characters or more. */
  std::string token_secret;
  /** The longest that a caller may ask to wait. */
  std::chrono::milliseconds max_timeout{10000};
  /** The time that a caller waits when it states none. */
  std::chrono::milliseconds default_timeout{2000};
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_caller_connections = 4096;
  /** How long a planned stop waits for open transactions. */
  std::chrono::milliseconds drain_limit{10000};
  MemberDialect dialect;
  LogSettings log;
};

/** The settings of a control process. */
struct ControlSettings {
  NodeId node;
  AvailabilityZone zone;
  std::string region;
  /** Where operators connect. */
  Endpoint listen;
  std::string peer_url;
  /** All control processes of the first start, this one included. */
  std::vector<PeerAddress> voters;
  std::string data_folder;
  /** Authenticates operators' requests; 16 characters or more. */
  std::string operator_secret;
  /** A backend server of which nothing was heard for this long may lose its
   * place to a new one. Long against a restart of its VM. */
  std::chrono::milliseconds member_lost_after{std::chrono::minutes(15)};
  LogSettings log;
};

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_CORE_SETTINGS_H_
