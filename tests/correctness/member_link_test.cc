#include "platform/member_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lacewingferry::platform {
namespace {

using boost::asio::ip::tcp;

/** A member that answers two lines and keeps the second. */
class TwoLineMember {
 public:
  TwoLineMember()
      : acceptor(this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread([this] { this->Serve(); }) {}
  ~TwoLineMember() { this->Join(); }
  TwoLineMember(const TwoLineMember&) = delete;
  TwoLineMember& operator=(const TwoLineMember&) = delete;

  Endpoint Address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  std::string SecondLine() {
    this->Join();
    return this->second;
  }

 private:
  void Serve() {
    tcp::socket socket = this->acceptor.accept();
    ReadLine(socket);
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("READY I 1.1\r\n")));
    this->second = ReadLine(socket);
    boost::asio::write(
        socket, boost::asio::buffer(std::string("DONE d\r\nREADY I 1.1\r\n")));
  }

  static std::string ReadLine(tcp::socket& socket) {
    std::string line;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(line), "\r\n",
                            error);
    return line;
  }

  void Join() {
    if (this->thread.joinable()) this->thread.join();
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::string second;
  std::thread thread;
};

MemberRequest Execution(const std::string& arguments) {
  MemberRequest request;
  request.kind = MemberRequestKind::kExecute;
  request.id = RequestId("5c0e");
  request.prepared = 7;
  request.argument = arguments;
  return request;
}

std::shared_ptr<MemberLink> MakeLink(boost::asio::io_context& io,
                                     const TwoLineMember& member,
                                     MemberLinkHooks hooks) {
  return std::make_shared<MemberLink>(
      io, LinkTarget{DatabaseId("db"), MemberId("m"), member.Address()},
      std::move(hooks));
}

// Guards against a line that a member reads as another request than was meant:
// nothing of its batch is sent, the reason is the reply, and the connection
// goes on.
class MemberLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLinkTest);
  CPPUNIT_TEST(RefusesWhatNoLineCanCarry);
  CPPUNIT_TEST(ClosedLinkRefusesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesWhatNoLineCanCarry() {
    TwoLineMember member;
    boost::asio::io_context io;
    std::vector<MemberReply> replies;
    std::shared_ptr<MemberLink> link;
    MemberLinkHooks hooks;
    hooks.opened = [&](const std::optional<LogPosition>&) {
      link->Send({Execution("a b"), Execution("a\r\nQUERY 9 LOOKUP b")});
      CPPUNIT_ASSERT(replies.empty());
    };
    hooks.reply = [&](const MemberReply& reply) {
      replies.push_back(reply);
      if (replies.size() == 2) link->Send({Execution("a b")});
      if (replies.size() == 3) link->Close();
    };
    hooks.lost = [](LinkLoss) { CPPUNIT_FAIL("the connection is lost"); };
    link = MakeLink(io, member, std::move(hooks));
    link->Open();
    io.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, replies.size());
    CPPUNIT_ASSERT(replies[0].error == StatementError::kMalformed);
    CPPUNIT_ASSERT(replies[1].error == StatementError::kMalformed);
    CPPUNIT_ASSERT(!replies[2].error);
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e EXECUTE p7 a b\r\n"),
                         member.SecondLine());
  }

  void ClosedLinkRefusesNothing() {
    TwoLineMember member;
    boost::asio::io_context io;
    std::shared_ptr<MemberLink> link;
    MemberLinkHooks hooks;
    hooks.opened = [&](const std::optional<LogPosition>&) {
      link->Send({Execution("a\nb")});
      link->Close();
    };
    hooks.reply = [](const MemberReply&) { CPPUNIT_FAIL("a reply"); };
    hooks.lost = [](LinkLoss) { CPPUNIT_FAIL("the connection is lost"); };
    link = MakeLink(io, member, std::move(hooks));
    link->Open();
    io.run();
    CPPUNIT_ASSERT_EQUAL(std::string(), member.SecondLine());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLinkTest);

}  // namespace
}  // namespace lacewingferry::platform
