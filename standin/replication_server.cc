#include "standin/replication_server.h"

#include <algorithm>
#include <utility>

namespace lacewingferry::standin {

using boost::asio::ip::tcp;

ReplicationServer::ReplicationServer(boost::asio::io_context& context,
                                     const Endpoint& endpoint,
                                     ReplicaStreamHooks stream_hooks)
    : io(context),
      acceptor(context,
               tcp::endpoint(boost::asio::ip::make_address(endpoint.host),
                             endpoint.port)),
      hooks(std::move(stream_hooks)) {
  this->Accept();
}

void ReplicationServer::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code& error,
                                     tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      this->streams.erase(
          std::remove_if(this->streams.begin(), this->streams.end(),
                         [](const auto& s) { return s->Closed(); }),
          this->streams.end());
      auto stream = std::make_shared<ReplicaStream>(
          std::make_shared<ReplicationChannel>(std::move(socket)), this->hooks);
      this->streams.push_back(stream);
      stream->Start();
    }
    this->Accept();
  });
}

void ReplicationServer::Notify() {
  for (const auto& stream : this->streams) stream->Pump();
}

void ReplicationServer::DropReplicas() {
  for (const auto& stream : std::exchange(this->streams, {})) stream->Close();
}

void ReplicationServer::Stop() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->DropReplicas();
}

std::vector<std::shared_ptr<ReplicaStream>> ReplicationServer::Replicas(
    std::uint64_t term) const {
  std::vector<std::shared_ptr<ReplicaStream>> result;
  for (const auto& stream : this->streams)
    if (!stream->Closed() && stream->Acknowledged().term == term)
      result.push_back(stream);
  return result;
}

}  // namespace lacewingferry::standin
