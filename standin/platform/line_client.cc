#include "standin/platform/line_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace lacewingferry::standin {

using boost::asio::ip::tcp;

class LineClient::Impl {
 public:
  explicit Impl(const Endpoint& proxy) : socket(this->io) {
    this->socket.connect(
        {boost::asio::ip::make_address(proxy.host), proxy.port});
  }

  void Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  }

  std::string ReadLine() {
    boost::system::error_code error;
    const std::size_t size = boost::asio::read_until(
        this->socket, boost::asio::dynamic_buffer(this->input), "\r\n", error);
    if (error) return "";
    std::string line = this->input.substr(0, size - 2);
    this->input.erase(0, size);
    return line;
  }

  int next_id = 0;

 private:
  boost::asio::io_context io;
  tcp::socket socket;
  std::string input;
};

LineClient::LineClient(const Endpoint& proxy, const std::string& database,
                       const std::string& key)
    : impl(std::make_unique<Impl>(proxy)) {
  if (database.empty()) return;
  this->impl->Write("STARTUP " + database + " " + key + "\r\n");
  const std::string answer = this->impl->ReadLine();
  if (answer.rfind("READY", 0) != 0) {
    throw std::runtime_error("session refused: " + answer);
  }
}

LineClient::~LineClient() = default;

std::string LineClient::Ask(const std::string& text) {
  return this->AskAs("c" + std::to_string(++this->impl->next_id), text);
}

std::string LineClient::AskAs(const std::string& id, const std::string& text) {
  this->impl->Write("QUERY " + id + " " + text + "\r\n");
  std::string answer;
  for (;;) {
    const std::string line = this->impl->ReadLine();
    if (line.empty()) return "";
    if (!answer.empty()) answer += "|";
    answer += line;
    if (line.rfind("READY", 0) == 0) return answer;
  }
}

std::string LineClient::SendRaw(const std::string& bytes) {
  this->impl->Write(bytes);
  return this->impl->ReadLine();
}

std::string LineClient::ReadLine() { return this->impl->ReadLine(); }

}  // namespace lacewingferry::standin
