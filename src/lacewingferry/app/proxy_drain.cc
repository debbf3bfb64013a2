#include "lacewingferry/app/proxy_drain.h"

#include <boost/asio/post.hpp>
#include <cstdlib>
#include <string>
#include <utility>

#include "lacewingferry/app/daemon_main.h"

namespace lacewingferry {
namespace {

using std::chrono::milliseconds;

/** How often a planned stop looks whether requests are unfinished. */
constexpr milliseconds kDrainCheckInterval{50};
/** Peers that have not yet heard of the stop still send requests for this
 * long. */
constexpr milliseconds kPeerNoticeTime{1000};
/** Beyond the drain limit, for a traffic thread to say what it has left. */
constexpr milliseconds kAnswerGrace{1000};

}  // namespace

ProxyDrain::ProxyDrain(
    boost::asio::io_context& control_context,
    const std::vector<std::unique_ptr<TrafficThread>>& traffic_threads,
    milliseconds drain_limit, ProxyDrainHooks drain_hooks)
    : control(control_context),
      threads(traffic_threads),
      limit(drain_limit),
      hooks(std::move(drain_hooks)),
      check_timer(control_context),
      limit_timer(control_context) {}

void ProxyDrain::Begin() {
  this->began = this->hooks.now();
  this->ArmLimit();
  this->Check();
}

void ProxyDrain::ArmLimit() {
  this->limit_timer.expires_after(this->limit + kAnswerGrace);
  this->limit_timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const std::size_t silent = this->threads.size() - this->counted;
    this->hooks.events.record(
        Event{EventCode::kInternalError,
              EventLevel::kError,
              {{"reason",
                "the stop is overdue; traffic threads that don't "
                "answer: " +
                    std::to_string(silent)}}});
    std::quick_exit(kExitFailed);
  });
}

void ProxyDrain::Check() {
  this->counted = 0;
  this->unfinished = 0;
  for (const auto& thread : this->threads) {
    thread->CountUnfinished(
        [this](std::size_t requests, std::size_t transactions) {
          boost::asio::post(this->control, [this, requests, transactions] {
            ++this->counted;
            this->unfinished += requests + transactions;
            if (this->counted == this->threads.size()) this->OnCounted();
          });
        });
  }
}

void ProxyDrain::OnCounted() {
  const auto passed = this->hooks.now() - this->began;
  const bool noticed = passed >= kPeerNoticeTime;
  // An answer may still be on its way between two threads.
  const bool idle = this->unfinished == 0 && this->hooks.exchanges() == 0;
  if ((idle && noticed) || passed >= this->limit) {
    this->hooks.done();
    return;
  }
  this->check_timer.expires_after(kDrainCheckInterval);
  this->check_timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->Check();
  });
}

}  // namespace lacewingferry
