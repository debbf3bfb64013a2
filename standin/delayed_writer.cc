#include "standin/delayed_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace lacewingferry::standin {

using std::chrono::steady_clock;

DelayedWriter::DelayedWriter(
    std::shared_ptr<boost::asio::ip::tcp::socket> connected,
    std::chrono::milliseconds one_way_latency)
    : socket(std::move(connected)),
      latency(one_way_latency),
      timer(this->socket->get_executor()) {}

void DelayedWriter::Start(std::function<void()> drained_hook,
                          std::function<void()> lost_hook) {
  this->drained = std::move(drained_hook);
  this->lost = std::move(lost_hook);
}

void DelayedWriter::Send(std::string bytes) {
  if (this->stopped || bytes.empty()) return;
  this->queued_bytes += bytes.size();
  this->pieces.push_back(
      Piece{steady_clock::now() + this->latency, std::move(bytes)});
  if (!this->busy) this->Next();
}

void DelayedWriter::Stop() {
  this->stopped = true;
  this->drained = nullptr;
  this->lost = nullptr;
  this->timer.cancel();
}

void DelayedWriter::Next() {
  this->busy = true;
  if (this->pieces.front().due <= steady_clock::now()) {
    this->Write();
    return;
  }
  this->timer.expires_at(this->pieces.front().due);
  this->timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        if (!e && !self->stopped) self->Write();
      });
}

void DelayedWriter::Write() {
  boost::asio::async_write(
      *this->socket, boost::asio::buffer(this->pieces.front().bytes),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t count) {
        if (self->stopped) return;
        if (error) {
          if (const auto hook = self->lost) hook();
          return;
        }
        self->queued_bytes -= count;
        self->pieces.pop_front();
        self->busy = false;
        if (!self->pieces.empty()) {
          self->Next();
        } else if (const auto hook = self->drained) {
          hook();
        }
      });
}

}  // namespace lacewingferry::standin
