#include "galenalink/http/server.hpp"
#include "fixture.hpp"
#include <deque>
#include <vector>

using namespace galenalink;
using namespace galenalink::http;
using namespace galenalink::http::test;
using namespace std::chrono_literals;

namespace {

/** @brief Server whose exchanges are kept for the test to answer. */
struct served {
  loop Loop;
  std::deque<exchange> Held;
  std::size_t Received{0};
  std::optional<http::server> Server;
  std::uint16_t Port{0};

  explicit served(const server_options Options = {}) {
    Server.emplace(Loop, Options, [this](exchange Exchange) {
      ++Received;
      Held.push_back(std::move(Exchange));
    });
    Port = listenOrFail(*Server);
  }
  [[nodiscard]] std::unique_ptr<raw_socket>
  connect(const std::string &Text) const {
    auto Socket = std::make_unique<raw_socket>(raw_socket::connectTo(Port));
    Socket->write(Text);
    return Socket;
  }
  bool waitHeld(const std::size_t Count) {
    return wait(Loop, [&] { return Held.size() == Count; });
  }
  bool waitEnd(raw_socket &Socket) {
    return wait(Loop, [&] {
      Socket.poll();
      return Socket.Ended;
    });
  }
  bool waitText(raw_socket &Socket, const std::string &Text) {
    return wait(Loop, [&] {
      Socket.poll();
      return Socket.Read.find(Text) != std::string::npos;
    });
  }
};

const std::string Get = "GET /a%20b?x=1%2B1&y= HTTP/1.1\r\nHost: a\r\n"
                        "Some-Header: value\r\n\r\n";
const std::string Post =
    "POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

BOOST_AUTO_TEST_SUITE(server)

BOOST_AUTO_TEST_CASE(request_is_parsed_and_answered_later) {
  served Test;
  const auto Socket = Test.connect(Get);
  BOOST_REQUIRE(Test.waitHeld(1));
  exchange &First = Test.Held.front();
  BOOST_TEST((First.method() == method::Get));
  BOOST_TEST(First.path() == "/a%20b");
  BOOST_TEST((First.query("x") == "1+1"));
  BOOST_TEST((First.query("y") == ""));
  BOOST_TEST(!First.query("z").has_value());
  BOOST_TEST((First.header("some-header") == "value"));
  BOOST_TEST(Test.Server->openExchanges() == 1U);
  First.reply(200, {{"A", "b"}}, "first");
  First.reply(500, {}, "second");
  BOOST_TEST(Test.waitText(*Socket, "first"));
  Test.Held.clear();
  Socket->write(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  BOOST_TEST(Test.Held.front().body() == "body");
  Test.Held.clear();
  BOOST_TEST(Test.waitText(*Socket, "HTTP/1.1 500"));
  BOOST_TEST(Socket->Read.find("second") == std::string::npos);
  BOOST_TEST(
      wait(Test.Loop, [&] { return Test.Server->openExchanges() == 0; }));
}

// evhttp stops the process if it reads pipelined bytes while it handles a
// request; watching for the peer's close must not cause that.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_handled_in_order) {
  served Test;
  const auto Socket = Test.connect(Post + Get + Post);
  for (int Each = 0; Each < 3; ++Each) {
    BOOST_REQUIRE(Test.waitHeld(1));
    Test.Held.front().onPeerClosed([] {});
    Socket->write(Get);
    bool Waited = false;
    const auto End =
        Test.Loop.at(boot_clock::now() + 5ms, [&] { Waited = true; });
    BOOST_TEST(wait(Test.Loop, [&] { return Waited; }));
    BOOST_TEST(Test.Received == static_cast<std::size_t>(Each) + 1);
    Test.Held.front().reply(200, {}, "answer" + std::to_string(Each));
    Test.Held.clear();
  }
  BOOST_TEST(Test.waitText(*Socket, "answer2"));
}

// Requests that a client pipelined while it did not read the responses were
// buffered without bound.
BOOST_AUTO_TEST_CASE(input_is_not_read_while_a_reply_is_unread) {
  constexpr std::size_t MaxTaken = 64U << 20U; // more than kernel buffers hold
  loop Loop;
  std::size_t Received = 0;
  http::server Server{Loop, {}, [&](exchange Exchange) {
                        ++Received;
                        Exchange.reply(200, {}, std::string(65536, 'r'));
                      }};
  raw_socket Socket{raw_socket::connectTo(listenOrFail(Server))};
  std::string Requests;
  while (Requests.size() < 65536)
    Requests += Get;
  std::size_t Taken = 0;
  time_point LastTaken = boot_clock::now();
  BOOST_TEST(wait(Loop, [&] {
    const std::size_t Sent =
        Socket.writeSome(Requests.substr(Taken % Requests.size()));
    Taken += Sent;
    if (Sent > 0)
      LastTaken = boot_clock::now();
    return Taken >= MaxTaken || boot_clock::now() >= LastTaken + 200ms;
  }));
  BOOST_TEST(Taken < MaxTaken);
  const std::size_t BeforeReading = Received;
  BOOST_TEST(wait(Loop, [&] {
    Socket.poll();
    Socket.Read.clear();
    return Received > BeforeReading + 100;
  }));
}

BOOST_AUTO_TEST_CASE(peer_that_closes_is_reported_once) {
  for (const bool Reset : {false, true}) {
    served Test;
    auto Socket = Test.connect(Post);
    BOOST_REQUIRE(Test.waitHeld(1));
    int Closed = 0;
    Test.Held.front().onPeerClosed([&] { ++Closed; });
    if (Reset)
      Socket->reset();
    Socket->disconnect();
    BOOST_TEST(wait(Test.Loop, [&] { return Closed == 1; }));
    Test.Held.front().reply(200, {}, "nobody reads this");
    BOOST_TEST(
        wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
    BOOST_TEST(Closed == 1);
  }
}

// A body that lacks bytes must not reach the handler.
BOOST_AUTO_TEST_CASE(incomplete_requests_are_not_handled) {
  const std::string Head = "POST /run HTTP/1.1\r\nHost: a\r\n";
  for (const std::string &Case :
       {Head, Head + "Content-Length: 5\r\n\r\nbody",
        Head + "\r\nbody without a length",
        Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        Head + "Content-Length: -1\r\n\r\nbody", std::string{"\r\n\r\n"},
        std::string{"PATCH / HTTP/1.1\r\n\r\n"}}) {
    BOOST_TEST_CONTEXT(Case) {
      served Test;
      const auto Socket = Test.connect(Case);
      Socket->endWriting();
      BOOST_TEST(Test.waitEnd(*Socket));
      BOOST_TEST(
          wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
      BOOST_TEST(Test.Received == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(oversized_requests_are_refused) {
  server_options Options;
  Options.MaxHeaderBytes = 512;
  Options.MaxBodyBytes = 1024;
  served Test{Options};
  const auto Head = Test.connect(
      "GET / HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n");
  BOOST_TEST(Test.waitEnd(*Head));
  const auto Body =
      Test.connect("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                   std::string(2000, 'b'));
  BOOST_TEST(Test.waitEnd(*Body));
  BOOST_TEST(Body->Read.starts_with("HTTP/1.1 413"));
  const auto Chunked = Test.connect(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
      std::string(2000, 'c') + "\r\n0\r\n\r\n");
  BOOST_TEST(Test.waitEnd(*Chunked));
  BOOST_TEST(Test.Received == 0U);
}

// A sender that keeps a connection busy with one byte now and then must be
// cut, on a new connection and on a kept one.
BOOST_AUTO_TEST_CASE(slow_senders_are_cut) {
  server_options Options;
  Options.ReceiveTimeout = 60ms;
  served Test{Options};
  const auto Fresh = Test.connect("G");
  const auto Kept = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Kept, "answer"));
  const auto Drip = Test.Loop.every(5ms, [&] {
    Fresh->write("E");
    Kept->write("P");
  });
  BOOST_TEST(Test.waitEnd(*Fresh));
  BOOST_TEST(Test.waitEnd(*Kept));
  BOOST_TEST(wait(Test.Loop, [&] { return Test.Server->connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(idle_connections_are_cut_but_not_a_long_request) {
  server_options Options;
  Options.IdleTimeout = 30ms;
  Options.ReceiveTimeout = 30ms;
  served Test{Options};
  const auto Idle = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().reply(200, {}, "");
  const auto Long = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(2));
  BOOST_TEST(Test.waitEnd(*Idle));
  Test.Held.back().reply(200, {}, "answer");
  BOOST_TEST(Test.waitText(*Long, "answer"));
}

BOOST_AUTO_TEST_CASE(connections_are_bounded) {
  server_options Options;
  Options.MaxConnections = 2;
  served Test{Options};
  auto First = Test.connect("");
  const auto Second = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  const auto Third = Test.connect(Post);
  bool Waited = false;
  const auto End =
      Test.Loop.at(boot_clock::now() + 20ms, [&] { Waited = true; });
  BOOST_TEST(wait(Test.Loop, [&] { return Waited; }));
  BOOST_TEST(Test.Server->connections() == 2U);
  BOOST_TEST(Test.Received == 1U);
  First.reset();
  BOOST_TEST(Test.waitHeld(2));
}

BOOST_AUTO_TEST_CASE(open_exchanges_finish_after_the_listener_closed) {
  served Test;
  const auto Idle = Test.connect(Get);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.clear();
  BOOST_TEST(Test.waitText(*Idle, "500"));
  const auto Busy = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Server->stopAccepting();
  BOOST_TEST(Test.waitEnd(*Idle));
  BOOST_TEST(Test.Server->openExchanges() == 1U);
  const std::string Body(1U << 20U, 'x');
  Test.Held.front().reply(200, {}, Body);
  BOOST_TEST(Test.waitEnd(*Busy));
  BOOST_TEST(Busy->Read.ends_with(Body));
  BOOST_TEST(Test.Server->openExchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(exchange_may_outlive_its_server) {
  served Test;
  const auto Socket = Test.connect(Post);
  BOOST_REQUIRE(Test.waitHeld(1));
  Test.Held.front().onPeerClosed([] {});
  Test.Server.reset();
  Test.Held.front().reply(200, {}, "answer");
  Test.Held.clear();
  BOOST_TEST(Test.waitEnd(*Socket));
}

BOOST_AUTO_TEST_CASE(taken_port_is_an_error) {
  served Test;
  http::server Other{Test.Loop, {}, [](exchange) {}};
  const auto Code = tryOr(
      [&]() -> result<errc> {
        auto Bound = Other.listen(Loopback, Test.Port);
        if (!Bound)
          return Bound.error();
        return errc::NotFound;
      },
      [](const error &Error) { return Error.Code; });
  BOOST_TEST((Code == errc::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
