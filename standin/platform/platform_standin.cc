#include "standin/platform/platform_standin.h"

#include <fcntl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "lacewingferry/adapters/http/http_server.h"
#include "standin/http_post.h"
#include "standin/platform/held_link.h"
#include "standin/platform/platform_group.h"

namespace lacewingferry::standin {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReplicaLag{10};
constexpr milliseconds kAnnounceInterval{200};
constexpr milliseconds kAnnounceTimeout{1000};
constexpr milliseconds kPromotionTime{100};
constexpr int kConflict = 409;
constexpr char kFenceHeader[] = "x-fencing-token";

/** A connection to a member. Keeps itself alive while it is open. */
class MemberSession : public std::enable_shared_from_this<MemberSession> {
 public:
  MemberSession(tcp::socket session_socket, PlatformGroup& session_group,
                std::size_t member)
      : socket(std::move(session_socket)), group(session_group) {
    this->connection.member = member;
  }

  void Read() {
    boost::asio::async_read_until(
        this->socket, boost::asio::dynamic_buffer(this->input), "\r\n",
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          if (error) return;
          const std::string line = self->input.substr(0, size - 2);
          self->input.erase(0, size);
          self->OnLine(line);
        });
  }

  void Close() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

 private:
  void OnLine(const std::string& line) {
    const auto now = steady_clock::now();
    std::string answer;
    if (line.rfind("STARTUP ", 0) == 0) {
      const std::string id = line.substr(line.rfind(' ') + 1);
      this->opened = id == this->group.IdOf(this->connection.member);
      answer = this->opened ? this->group.Ready(now, this->connection)
                            : "ERROR MISROUTED " + id + "\r\n";
    } else if (line.rfind("QUERY ", 0) == 0 && this->opened) {
      const std::size_t end = line.find(' ', 6);
      answer = this->group.Answer(
          now, this->connection, line.substr(6, end - 6), line.substr(end + 1));
      answer += this->group.Ready(now, this->connection);
    } else {
      this->Close();
      return;
    }
    if (this->group.Silent(this->connection.member)) {
      this->Read();
      return;
    }
    this->outgoing = answer;
    boost::asio::async_write(this->socket, boost::asio::buffer(this->outgoing),
                             [self = this->shared_from_this()](
                                 boost::system::error_code error, std::size_t) {
                               if (!error) self->Read();
                             });
  }

  tcp::socket socket;
  PlatformGroup& group;
  PlatformConnection connection;
  bool opened = false;
  std::string input;
  std::string outgoing;
};

}  // namespace

class PlatformStandin::Impl {
 public:
  explicit Impl(PlatformStandinPlan standin_plan)
      : plan(std::move(standin_plan)),
        work(boost::asio::make_work_guard(this->io)),
        group(this->plan.group, this->plan.members.size(), kReplicaLag),
        timer(this->io),
        born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
    for (std::size_t i = 0; i < this->plan.members.size(); ++i) this->Listen(i);
    this->promotions = std::make_shared<HttpServer>(
        std::vector<HttpServer::Thread>{
            {&this->io,
             [this](const HttpRequest& request, HttpRespond done) {
               this->OnPromote(request, std::move(done));
             }}},
        Endpoint{this->plan.promotion.host, 0}, HttpLimits());
    this->promotions->Start();
    this->link = std::make_unique<HeldLink>(
        this->io, this->plan.promotion,
        Endpoint{this->plan.promotion.host, this->promotions->Port()});
    this->Announce();
    this->thread = std::thread([this] { this->io.run(); });
  }

  ~Impl() {
    this->io.stop();
    this->thread.join();
  }

  /** Runs an action on the stand-in's thread and waits for its result. */
  template <typename Action>
  auto Call(Action action) {
    std::packaged_task<decltype(action())()> task(std::move(action));
    auto result = task.get_future();
    boost::asio::post(this->io, [&task] { task(); });
    return result.get();
  }

  PlatformGroup& Group() { return this->group; }
  HeldLink& Link() { return *this->link; }
  const std::vector<std::uint64_t>& Fences() const { return this->fences; }

  void Stop(std::size_t member) {
    this->group.SetAlive(member, false);
    this->acceptors[member]->close();
    for (const auto& weak : this->sessions[member]) {
      if (const auto session = weak.lock()) session->Close();
    }
    this->sessions[member].clear();
  }

  void Start(std::size_t member) {
    this->group.SetAlive(member, true);
    this->Listen(member);
  }

 private:
  void Listen(std::size_t member) {
    const Endpoint& endpoint = this->plan.members[member];
    this->acceptors[member] = std::make_unique<tcp::acceptor>(
        this->io, tcp::endpoint(boost::asio::ip::make_address(endpoint.host),
                                endpoint.port));
    // Programs that are started later must not keep a stopped member's port.
    ::fcntl(this->acceptors[member]->native_handle(), F_SETFD, FD_CLOEXEC);
    this->Accept(member);
  }

  void Accept(std::size_t member) {
    this->acceptors[member]->async_accept(
        [this, member](boost::system::error_code error, tcp::socket socket) {
          if (error) return;
          const auto session = std::make_shared<MemberSession>(
              std::move(socket), this->group, member);
          this->sessions[member].push_back(session);
          session->Read();
          this->Accept(member);
        });
  }

  void OnPromote(const HttpRequest& request, HttpRespond done) {
    const auto fence = request.headers.find(kFenceHeader);
    if (fence != request.headers.end()) {
      this->fences.push_back(std::stoull(fence->second));
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const std::string id = body.value("id", "");
    const auto delay =
        std::make_shared<boost::asio::steady_timer>(this->io, kPromotionTime);
    delay->async_wait([this, id, delay](boost::system::error_code) {
      this->group.Promote(id);
    });
    HttpResponse response;
    bool runs = false;
    for (std::size_t i = 0; i < this->group.Size(); ++i) {
      runs = runs || (this->group.IdOf(i) == id && this->group.Alive(i));
    }
    if (!runs) response.status = kConflict;
    done(std::move(response));
  }

  void Announce() {
    ++this->sequence;
    for (std::size_t i = 0; i < this->group.Size(); ++i) {
      if (!this->group.Alive(i)) continue;
      const Endpoint& endpoint = this->plan.members[i];
      const nlohmann::json body = {
          {"service", this->plan.group},
          {"addr", endpoint.host + ":" + std::to_string(endpoint.port)},
          {"zone", "z" + std::to_string(i)},
          {"version", "v1"},
          {"slots", 4},
          {"state", "ready"},
          {"warmup_left_ms", 0},
          {"db_role", this->group.Primary(i) ? "primary" : "replica"},
          {"sequence", this->sequence},
          {"born", this->born}};
      // Only the leader of control takes it; the others send elsewhere.
      for (const Endpoint& control : this->plan.control) {
        PostJson(this->io, control,
                 "/instances/" + this->group.IdOf(i) + "/heartbeat",
                 body.dump(), kAnnounceTimeout, [](bool) {});
      }
    }
    this->timer.expires_after(kAnnounceInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
      if (!error) this->Announce();
    });
  }

  PlatformStandinPlan plan;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  PlatformGroup group;
  boost::asio::steady_timer timer;
  std::int64_t born;
  std::uint64_t sequence = 0;
  std::map<std::size_t, std::unique_ptr<tcp::acceptor>> acceptors;
  std::map<std::size_t, std::vector<std::weak_ptr<MemberSession>>> sessions;
  std::shared_ptr<HttpServer> promotions;
  std::unique_ptr<HeldLink> link;
  std::vector<std::uint64_t> fences;
  std::thread thread;
};

PlatformStandin::PlatformStandin(PlatformStandinPlan plan)
    : impl(std::make_unique<Impl>(std::move(plan))) {}

PlatformStandin::~PlatformStandin() = default;

void PlatformStandin::StopMember(std::size_t member) {
  this->impl->Call([&] { this->impl->Stop(member); });
}

void PlatformStandin::StartMember(std::size_t member) {
  this->impl->Call([&] { this->impl->Start(member); });
}

void PlatformStandin::SilenceMember(std::size_t member) {
  this->impl->Call([&] { this->impl->Group().Silence(member); });
}

void PlatformStandin::HoldUpNextCall() {
  this->impl->Call([&] { this->impl->Link().HoldNext(); });
}

std::optional<std::string> PlatformStandin::CallHeldUp() {
  return this->impl->Call([&] { return this->impl->Link().Held(); });
}

void PlatformStandin::DeliverCall() {
  this->impl->Call([&] { this->impl->Link().Deliver(); });
}

std::vector<std::uint64_t> PlatformStandin::Fences() {
  return this->impl->Call([&] { return this->impl->Fences(); });
}

std::size_t PlatformStandin::Primary() {
  return this->impl->Call([this] {
    PlatformGroup& group = this->impl->Group();
    for (std::size_t i = 0; i < group.Size(); ++i) {
      if (group.Primary(i) && group.Alive(i)) return i;
    }
    return group.Size();
  });
}

std::optional<std::string> PlatformStandin::Stored(const std::string& item) {
  return this->impl->Call([&] { return this->impl->Group().Stored(item); });
}

std::vector<PlatformExecution> PlatformStandin::Executions() {
  return this->impl->Call([&] { return this->impl->Group().Executions(); });
}

std::size_t PlatformStandin::Stores(const std::string& item) {
  return this->impl->Call([&] { return this->impl->Group().Stores(item); });
}

}  // namespace lacewingferry::standin
