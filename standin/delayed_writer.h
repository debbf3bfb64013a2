#ifndef STANDIN_DELAYED_WRITER_H_
#define STANDIN_DELAYED_WRITER_H_

// Defines DelayedWriter, which sends bytes after a network's latency.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lacewingferry::standin {

/** Writes to a socket in order, each piece no sooner than the latency after it
 * was given. Kept alive by its pending operations. */
class DelayedWriter : public std::enable_shared_from_this<DelayedWriter> {
 public:
  DelayedWriter(std::shared_ptr<boost::asio::ip::tcp::socket> connected,
                std::chrono::milliseconds one_way_latency);

  /** Sets what is called when all bytes are sent, and when sending failed. */
  void Start(std::function<void()> drained_hook,
             std::function<void()> lost_hook);

  void Send(std::string bytes);

  /** The bytes that aren't sent yet. */
  std::size_t Queued() const { return this->queued_bytes; }

  /** Drops the rest; no hook is called afterwards. */
  void Stop();

 private:
  struct Piece {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
  };

  void Next();
  void Write();

  std::shared_ptr<boost::asio::ip::tcp::socket> socket;
  std::chrono::milliseconds latency;
  boost::asio::steady_timer timer;
  std::function<void()> drained;
  std::function<void()> lost;
  std::deque<Piece> pieces;
  std::size_t queued_bytes = 0;
  bool busy = false;
  bool stopped = false;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_DELAYED_WRITER_H_
