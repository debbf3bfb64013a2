#ifndef STANDIN_ANNOUNCER_H_
#define STANDIN_ANNOUNCER_H_

// Defines Announcer, which tells the proxies of a member again and again.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "standin/announcement.h"

namespace lacewingferry::standin {

/** Where and how often a member announces itself. */
struct AnnouncerSettings {
  /** The proxies; the next one is asked when one fails. */
  std::vector<Endpoint> proxies;
  std::chrono::milliseconds interval{500};
};

/** Posts announcements, one at a time. Kept alive by its pending
 * operations until it is stopped. */
class Announcer : public std::enable_shared_from_this<Announcer> {
 public:
  /** The hook gives what is announced, without the sequence number. */
  Announcer(boost::asio::io_context& context,
            AnnouncerSettings announcer_settings,
            std::function<Announcement()> current_hook);

  /** Announces at once and then at the interval. */
  void Start();

  /** Announces at once, out of turn; done is told when a proxy has taken the
   * announcement or none would. */
  void AnnounceNow(std::function<void()> done);

  void Stop();

 private:
  void Arm();
  void Post(const Announcement& announcement, std::size_t attempts_left,
            const std::function<void()>& done);

  boost::asio::io_context& io;
  AnnouncerSettings settings;
  std::function<Announcement()> current;
  boost::asio::steady_timer timer;
  std::size_t next_proxy = 0;
  std::uint64_t sequence = 0;
  bool stopped = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_ANNOUNCER_H_
