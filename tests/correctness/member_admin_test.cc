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

/** Accepts one connection, reads its first line, sends the reply and closes. */
class SingleReplyServer {
 public:
  explicit SingleReplyServer(std::string text)
      : acceptor(this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread([this, answer = std::move(text)] {
          tcp::socket socket = this->acceptor.accept();
          std::string first_line;
          boost::asio::read_until(
              socket, boost::asio::dynamic_buffer(first_line), "\r\n");
          boost::asio::write(socket, boost::asio::buffer(answer));
        }) {}
  ~SingleReplyServer() { this->thread.join(); }

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
  const MemberAdminPort port = MakeLineAdmin(
      control, ClockPort{[] { return std::chrono::steady_clock::now(); }, {}});
  std::optional<MemberResponse> response;
  MemberRequest request;
  request.kind = MemberRequestKind::kStatus;
  port.ask(LinkTarget{DatabaseId("db"), MemberId("m"), member}, request, kLimit,
           [&](const AdminAnswer& answer) { response = answer.response; });
  control.run();
  return *response;
}

// Guards against taking a full member for a lost one: with more proxies than a
// member has connections, a new control leader got no connection to a healthy
// primary, took it for lost, and recalled the leases of a term that no
// switchover could end.
class MemberAdminTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAdminTest);
  CPPUNIT_TEST(FullMemberIsBusy);
  CPPUNIT_TEST(MemberThatClosesAtOnceMayBeOverloaded);
  CPPUNIT_TEST(OtherMemberAtTheAddressIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullMemberIsBusy() {
    const SingleReplyServer member("ERROR TOOMANY too many connections\r\n");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kBusy);
  }

  void MemberThatClosesAtOnceMayBeOverloaded() {
    const SingleReplyServer member("");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kSlow);
  }

  void OtherMemberAtTheAddressIsRefused() {
    const SingleReplyServer member("ERROR MISROUTED i-other\r\n");
    CPPUNIT_ASSERT(Ask(member.Address()) == MemberResponse::kRefused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAdminTest);

}  // namespace
}  // namespace lacewingferry::platform
