#include "standin/announcer.h"

#include <utility>

#include "standin/http_post.h"

namespace lacewingferry::standin {
namespace {

/** How long a proxy may take to answer. */
constexpr std::chrono::milliseconds kPostTimeout{300};

const char kPath[] = "/v1/announcements";

}  // namespace

Announcer::Announcer(boost::asio::io_context& context,
                     AnnouncerSettings announcer_settings,
                     std::function<Announcement()> current_hook)
    : io(context),
      settings(std::move(announcer_settings)),
      current(std::move(current_hook)),
      timer(context) {}

void Announcer::Start() {
  if (this->stopped || this->settings.proxies.empty()) return;
  this->AnnounceNow([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->Arm();
  });
}

void Announcer::Arm() {
  if (this->stopped) return;
  this->timer.expires_after(this->settings.interval);
  this->timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) self->Start();
      });
}

void Announcer::AnnounceNow(std::function<void()> done) {
  Announcement announcement = this->current();
  announcement.sequence = ++this->sequence;
  this->Post(announcement, this->settings.proxies.size(), done);
}

void Announcer::Post(const Announcement& announcement,
                     std::size_t attempts_left,
                     const std::function<void()>& done) {
  if (attempts_left == 0 || this->stopped) {
    done();
    return;
  }
  const std::size_t index = this->next_proxy % this->settings.proxies.size();
  PostJson(this->io, this->settings.proxies[index], kPath,
           EncodeAnnouncement(announcement), kPostTimeout,
           [self = this->shared_from_this(), announcement, attempts_left, index,
            done](bool accepted) {
             if (accepted) {
               done();
               return;
             }
             self->next_proxy = index + 1;
             self->Post(announcement, attempts_left - 1, done);
           });
}

void Announcer::Stop() {
  this->stopped = true;
  this->timer.cancel();
}

}  // namespace lacewingferry::standin
