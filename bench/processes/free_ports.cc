#include "bench/processes/free_ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>

namespace lacewingferry::processes {
namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kLastPort = 31999;
constexpr int kMostTries = 1000;

bool IsFree(std::uint16_t port) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::v4());
  boost::system::error_code error;
  acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port),
                error);
  return !error;
}

}  // namespace

FreePorts::FreePorts() : random(std::random_device{}()) {}

std::uint16_t FreePorts::Take() {
  std::uniform_int_distribution<int> any(kFirstPort, kLastPort);
  for (int i = 0; i < kMostTries; ++i) {
    const auto port = static_cast<std::uint16_t>(any(this->random));
    if (IsFree(port) && this->taken.insert(port).second) return port;
  }
  throw std::runtime_error("no free port was found");
}

}  // namespace lacewingferry::processes
