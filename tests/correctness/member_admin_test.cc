#include "platform/member_admin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>

namespace lacewingferry::platform {
namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kLimit{2000};

/** Takes one connection, reads its opening line, answers and closes. */
class OneAnswer {
 public:
  explicit OneAnswer(std::string text)
      : acceptor(this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread([this, answer = std::move(text)] {
          tcp::socket socket = this->acceptor.accept();
          std::string opening;
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(opening),
                                  "\r\n");
          boost::asio::write(socket, boost::asio::buffer(answer));
        }) {}
  ~OneAnswer() { this->thread.join(); }

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

 private:
  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::thread thread;
};

MemberResponse Ask(const Endpoint& member) {
  boost::asio::io_context control;
  const MemberAdminPort port = MakeLineAdmin(control);
  std::optional<MemberResponse> response;
  MemberRequest request;
  request.kind = MemberRequestKind::kStatus;
  port.ask(LinkTarget{DatabaseId("db"), MemberId("m"), member}, request, kLimit,
           [&](const AdminAnswer& answer) { response = answer.response; });
  control.run();
  return *response;
}

// With more proxies than a member has connections, a new leader of control
// found no room at a healthy primary, took that for its loss, and recalled the
// leases of a term that nothing could end.
class MemberAdminTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAdminTest);
  CPPUNIT_TEST(FullMemberLives);
  CPPUNIT_TEST(MemberThatClosesAtOnceMayBeOverloaded);
  CPPUNIT_TEST(AnotherMemberRefuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullMemberLives() {
    const OneAnswer member("ERROR TOOMANY too many connections\r\n");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kBusy);
  }

  void MemberThatClosesAtOnceMayBeOverloaded() {
    const OneAnswer member("");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kSlow);
  }

  void AnotherMemberRefuses() {
    const OneAnswer member("ERROR MISROUTED i-other\r\n");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kRefused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAdminTest);

}  // namespace
}  // namespace lacewingferry::platform
