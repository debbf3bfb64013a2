#ifndef STANDIN_PLATFORM_PLATFORM_STANDIN_H_
#define STANDIN_PLATFORM_PLATFORM_STANDIN_H_

// Defines PlatformStandin, a small stand-in of the Kraanwater platform on
// loopback: members that speak its lines and announce themselves, and the call
// that promotes.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lacewingferry/core/routing_view.h"
#include "standin/platform/platform_group.h"

namespace lacewingferry::standin {

/** What a stand-in consists of. */
struct PlatformStandinPlan {
  /** The name of the only group. */
  std::string group;
  /** Where its members listen; the first is the primary. */
  std::vector<Endpoint> members;
  /** Where promotions are asked for. */
  Endpoint promotion;
  /** The processes of control, to which members announce themselves. */
  std::vector<Endpoint> control;
};

/** Runs on a thread of its own from its making to its end. */
class PlatformStandin {
 public:
  /** Listens at once. Throws UserError if an address can't be used. */
  explicit PlatformStandin(PlatformStandinPlan plan);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /** Ends a member's connections and refuses others until it is started. */
  void StopMember(std::size_t member);
  void StartMember(std::size_t member);
  /** Lets a member run what it is asked and answer nothing, until it is
   * stopped. */
  void SilenceMember(std::size_t member);

  /** Holds up the next call for a promotion on its way. */
  void HoldUpNextCall();
  /** The call that is held up; none if there is none, or if its sender reset
   * the connection. */
  std::optional<std::string> CallHeldUp();
  /** Lets the call that is held up arrive. */
  void DeliverCall();
  /** The fences of the calls that arrived, in their order. */
  std::vector<std::uint64_t> Fences();

  /** The member that leads. */
  std::size_t Primary();
  /** What the primary has of an item, and how often it was stored. */
  std::optional<std::string> Stored(const std::string& item);
  std::size_t Stores(const std::string& item);
  /** The prepared statements that members ran, in their order. */
  std::vector<PlatformExecution> Executions();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_STANDIN_H_
