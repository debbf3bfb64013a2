#include "bench/model/configuration_run.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/model/event_queue.h"
#include "bench/model/random_length.h"
#include "lacewingferry/decisions/configuration/configuration_holder.h"

namespace lacewingferry::model {
namespace {

using std::chrono::milliseconds;

/** How often a proxy reports the revision that it holds. */
constexpr milliseconds kReportInterval{500};
constexpr milliseconds kLongestDelay{900};
/** The part of the messages that get lost. */
constexpr double kLoss = 0.2;
constexpr milliseconds kLongestPause{1500};

/** One run: control's newest configuration, and the holders of the proxies. */
class ConfigurationRun {
 public:
  explicit ConfigurationRun(const ConfigurationRunOptions& run_options)
      : options(run_options), random(run_options.seed) {}

  History Run() {
    for (std::size_t i = 0; i < this->options.proxies; ++i) {
      this->holders.push_back(this->NewHolder(i));
      this->history.in_force[NameOf(i)] = {};
      this->Report(i);
    }
    this->Accept();
    while (this->newest.revision < this->options.revisions) {
      this->queue.RunUntil(this->queue.Now() + kReportInterval);
    }
    this->queue.RunUntil(this->queue.Now() + 2 * kLongestSpread);
    this->history.ended_at = this->queue.Now();
    return this->history;
  }

 private:
  static std::string NameOf(std::size_t proxy) {
    return "proxy-" + std::to_string(proxy);
  }

  std::unique_ptr<ConfigurationHolder> NewHolder(std::size_t proxy) {
    return std::make_unique<ConfigurationHolder>(
        [this, proxy](const ConfigurationHolder::ConfigurationPtr& taken) {
          this->history.in_force[NameOf(proxy)].push_back(
              {taken->revision, this->queue.Now()});
        });
  }

  /** Delivers a message, unless it is lost; a later one may overtake it. */
  void Deliver(std::function<void()> action) {
    const milliseconds delay = RandomLength(kLongestDelay, this->random);
    if (std::bernoulli_distribution(kLoss)(this->random)) return;
    this->queue.After(delay, std::move(action));
  }

  void Accept() {
    ++this->newest.revision;
    this->history.accepted.push_back(
        {this->newest.revision, this->queue.Now()});
    for (std::size_t i = 0; i < this->options.proxies; ++i) this->Offer(i);
    if (this->newest.revision == this->options.revisions) return;
    this->queue.After(RandomLength(kLongestPause, this->random),
                      [this] { this->Accept(); });
  }

  void Offer(std::size_t proxy) {
    this->Deliver([this, proxy, offered = this->newest] {
      if (!this->options.keeps_higher) {
        this->holders[proxy] = this->NewHolder(proxy);
      }
      this->holders[proxy]->OfferConfiguration(offered);
    });
  }

  void Report(std::size_t proxy) {
    const std::uint64_t held = this->holders[proxy]->Current()->revision;
    this->Deliver([this, proxy, held] {
      const bool lacks = held < this->newest.revision;
      if (lacks && this->options.offers_again) this->Offer(proxy);
    });
    this->queue.After(kReportInterval, [this, proxy] { this->Report(proxy); });
  }

  ConfigurationRunOptions options;
  std::mt19937_64 random;
  EventQueue queue;
  ConfigurationInForce newest;
  std::vector<std::unique_ptr<ConfigurationHolder>> holders;
  History history;
};

}  // namespace

History RunConfigurations(const ConfigurationRunOptions& options) {
  return ConfigurationRun(options).Run();
}

}  // namespace lacewingferry::model
