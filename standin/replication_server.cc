#include "standin/replication_server.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lacewingferry::standin {

using boost::asio::ip::tcp;

ReplicationServer::ReplicationServer(boost::asio::io_context& context,
                                     const Endpoint& endpoint,
                                     ReplicaStreamHooks stream_hooks)
    : listener(std::make_shared<Listener>(context, endpoint)),
      hooks(std::move(stream_hooks)) {
  this->listener->Start(
      [this](tcp::socket socket) { this->Add(std::move(socket)); });
}

void ReplicationServer::Add(tcp::socket socket) {
  this->streams.erase(std::remove_if(this->streams.begin(), this->streams.end(),
                                     [](const auto& s) { return s->Closed(); }),
                      this->streams.end());
  auto channel = std::make_shared<ReplicationChannel>(std::move(socket));
  this->streams.push_back(
      std::make_shared<ReplicaStream>(std::move(channel), this->hooks));
  this->streams.back()->Start();
}

void ReplicationServer::Notify() {
  for (const auto& stream : this->streams) stream->Pump();
}

void ReplicationServer::DropReplicas() {
  for (const auto& stream : std::exchange(this->streams, {})) stream->Close();
}

void ReplicationServer::Stop() {
  this->listener->Stop();
  this->DropReplicas();
}

std::vector<std::shared_ptr<ReplicaStream>> ReplicationServer::Replicas(
    std::uint64_t term) const {
  std::map<std::string, std::shared_ptr<ReplicaStream>> newest;
  for (const auto& stream : this->streams) {
    if (!stream->Closed() && stream->Acknowledged().term == term) {
      newest[stream->Member()] = stream;
    }
  }
  std::vector<std::shared_ptr<ReplicaStream>> result;
  result.reserve(newest.size());
  for (const auto& [member, stream] : newest) result.push_back(stream);
  return result;
}

}  // namespace lacewingferry::standin
